"""Replace a replica whose folder is lost, one change at a time.

A new folder comes in as a learner. Once it has synced all that is committed
the old folder of the same name goes out, and then the learner becomes a voter.
Each change adds or removes one voter, so any majority before it shares a
member with any majority after it (Ongaro, 2014, section 4.1). In the other
order four voters of whom one is lost need all three others, and a new folder
that is lost too would leave no majority for ever.
"""

from sardinemast.consensus._commit import Commits
from sardinemast.consensus._events import MessageReceived, Role
from sardinemast.consensus._messages import JoinHint, Member, RetireRequest
from sardinemast.consensus._replication import Replication
from sardinemast.consensus._state import ReplicaState


class Membership:
    """Decide changes of the configuration, at the leader."""

    def __init__(
        self,
        state: ReplicaState,
        commits: Commits,
        replication: Replication,
    ) -> None:
        self._state = state
        self._commits = commits
        self._replication = replication

    def receive_join(self, event: MessageReceived, now_s: float) -> None:
        """Take in an empty folder as a learner."""
        state = self._state
        configuration = state.log.configuration
        identity = event.route.sender
        if state.role is not Role.leader:
            self._give_hint(event)
        if not self._may_change() or configuration.find(identity):
            return
        namesakes = self._get_namesakes(event.sender)
        # Two processes under one name are a mistake of an operator; taking
        # the second one in would count out a replica that is well.
        is_in_use = any(
            self._replication.has_heard(one.identity, now_s)
            for one in namesakes
        )
        if is_in_use or not self._may_join(event.sender):
            return
        kept = [
            one
            for one in configuration.members
            if one.is_voter or one.name != event.sender
        ]
        learner = Member(identity, event.sender, is_voter=False)
        self._propose((*kept, learner), now_s)

    def tick(self, now_s: float) -> None:
        """Go on with a change that is due and loses no majority."""
        if not self._may_change():
            return
        for member in self._state.get_peers():
            changed = self._get_next_step(member, now_s)
            if changed and self._is_safe(changed, now_s):
                self._propose(changed, now_s)
                return

    def retire(self, name: str, now_s: float) -> bool:
        """Tell a replica to join anew, where the others are a majority."""
        state = self._state
        voters = [one for one in self._get_namesakes(name) if one.is_voter]
        if name == state.settings.name or not voters or not self._may_change():
            return False
        others = self.get_heard(now_s) - {one.identity for one in voters}
        if not state.has_quorum(others):
            return False
        for member in voters:
            state.send(member, RetireRequest(state.term))
        return True

    def refuse(self, event: MessageReceived) -> None:
        """Tell a folder that the configuration does not name to retire."""
        if self._may_change():
            stranger = Member(event.route.sender, event.sender, is_voter=False)
            self._state.send(stranger, RetireRequest(self._state.term))

    def get_heard(self, now_s: float) -> set[str]:
        """Give who has answered lately, and the leader itself."""
        heard = {
            one.identity
            for one in self._state.get_peers()
            if self._replication.has_heard(one.identity, now_s)
        }
        return heard | {self._state.identity}

    def _give_hint(self, event: MessageReceived) -> None:
        names = {one.name for one in self._state.log.configuration.members}
        if names and self._state.settings.voters_max:
            stranger = Member(event.route.sender, event.sender, is_voter=False)
            self._state.send(stranger, JoinHint(tuple(sorted(names))))

    def _may_join(self, name: str) -> bool:
        settings = self._state.settings
        return settings.voters_max > 0 or name in settings.voters

    def _get_next_step(
        self,
        member: Member,
        now_s: float,
    ) -> tuple[Member, ...]:
        if member.is_voter or not self._is_caught_up(member, now_s):
            return ()
        members = self._state.log.configuration.members
        namesakes = [
            one for one in self._get_namesakes(member.name) if one != member
        ]
        if namesakes:
            return self._get_without(namesakes[0], now_s)
        if self._is_full():
            return self._get_without_silent(now_s)
        return tuple(
            one._replace(is_voter=True) if one == member else one
            for one in members
        )

    def _get_without(
        self,
        replaced: Member,
        now_s: float,
    ) -> tuple[Member, ...]:
        if self._replication.has_heard(replaced.identity, now_s):
            return ()
        members = self._state.log.configuration.members
        return tuple(one for one in members if one != replaced)

    def _is_full(self) -> bool:
        voters_max = self._state.settings.voters_max
        members = self._state.log.configuration.members
        return 0 < voters_max <= sum(one.is_voter for one in members)

    def _get_without_silent(self, now_s: float) -> tuple[Member, ...]:
        # A replica that was replaced for good never comes back under its
        # name. While it counts as a voter, one loss less can be borne.
        progress = self._replication.get_progress
        voters = [one for one in self._state.get_peers() if one.is_voter]
        silent = min(
            voters,
            key=lambda one: progress(one.identity).acknowledged_s,
        )
        heard_s = max(
            progress(silent.identity).acknowledged_s,
            self._replication.elected_s,
        )
        if now_s < heard_s + self._state.settings.replace_after_s:
            return ()
        members = self._state.log.configuration.members
        return tuple(one for one in members if one != silent)

    def _is_caught_up(self, member: Member, now_s: float) -> bool:
        known = self._replication.get_progress(member.identity)
        is_heard = self._replication.has_heard(member.identity, now_s)
        return is_heard and known.match_index >= self._commits.commit_index

    def _is_safe(self, members: tuple[Member, ...], now_s: float) -> bool:
        # With another replica down the change could not be committed, and
        # the leader would lose its majority by its own doing.
        heard = self.get_heard(now_s)
        voters = [one.identity for one in members if one.is_voter]
        return 2 * len(heard.intersection(voters)) > len(voters)

    def _get_namesakes(self, name: str) -> list[Member]:
        members = self._state.log.configuration.members
        return [one for one in members if one.name == name]

    def _may_change(self) -> bool:
        # The former change must be committed, and so must an entry of the
        # own term, or two changes could be under way at two leaders.
        state = self._state
        committed = self._commits.commit_index
        return (
            state.role is Role.leader
            and not state.has_fixed_members
            and state.log.configuration_index <= committed
            and state.log.get_term(committed) == state.term
        )

    def _propose(self, members: tuple[Member, ...], now_s: float) -> None:
        changed = self._state.log.configuration._replace(members=members)
        self._replication.propose(((b'', changed),), now_s)
        self._replication.count()
