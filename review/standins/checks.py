"""Checks of rules on the lines of a record."""


def find_twice(lines):
    """Return the starts that break TWICE.

    Two runs of a work item at the same time, or a start after a run has ended
    ``done`` if that end is taken note of then or later, unless the executor's
    lease lapsed between the two.
    """
    found = []
    running = {}
    done = {}
    noted = _find_noted(lines)
    for line in lines:
        if line['what'] == 'start':
            task = line['task']
            if running.get(task):
                found.append((line, 'runs already', running[task]))
            for end in done.get(task, ()):
                if (end['executor'], end['n']) in noted:
                    found.append((line, 'has ended done', end))
                    break
            running.setdefault(task, {})[line['executor']] = line['run']
        elif line['what'] == 'end':
            running.get(line['task'], {}).pop(line['executor'], None)
            if line['how'] == 'done':
                done.setdefault(line['task'], []).append(line)
    return found


def _find_noted(lines):
    """Return the ends that were taken note of under an unbroken lease."""
    noted = set()
    waiting = {}
    for line in lines:
        executor = line.get('executor')
        if line['what'] == 'end':
            waiting.setdefault(executor, []).append(line['n'])
        elif line['what'] == 'lease lapsed':
            waiting[executor] = []
        elif line['what'] == 'ends seen':
            seen = line['last_seen']
            numbers = waiting.get(executor, [])
            noted.update((executor, one) for one in numbers if one <= seen)
            waiting[executor] = [one for one in numbers if one > seen]
    return noted
