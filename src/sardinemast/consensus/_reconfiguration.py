"""Change the members of the cluster, one voter at a time.

A new folder joins as a learner. Once it has synced all committed entries, the
lost folder of the same name is removed, and then the learner becomes a voter.
Each change adds or removes one voter, so that any majority before it overlaps
any majority after it (Ongaro, 2014, section 4.1). If the learner became a
voter first, three of four voters would be needed while one is lost, and losing
the new folder too would leave the cluster without a majority forever.
"""

from sardinemast.consensus._commit_tracker import CommitTracker
from sardinemast.consensus._events import MessageReceived, Role
from sardinemast.consensus._messages import JoinHint, Member, RetireRequest
from sardinemast.consensus._replication import Replication
from sardinemast.consensus._state import ReplicaState


class Reconfiguration:
    """Propose configuration changes, at the leader."""

    def __init__(
        self,
        state: ReplicaState,
        commits: CommitTracker,
        replication: Replication,
    ) -> None:
        self._state = state
        self._commits = commits
        self._replication = replication

    def receive_join(self, event: MessageReceived, now_s: float) -> None:
        """Add a folder that asks to join as a learner."""
        state = self._state
        configuration = state.log.configuration
        identity = event.route.sender
        if state.role is not Role.leader:
            self._send_join_hint(event)
        if not self._may_change() or configuration.find(identity):
            return
        same_name = self._get_members_named(event.sender)
        # Two processes with the same name are a mistake of an operator; adding
        # the second one would end with the removal of a healthy replica.
        is_in_use = any(
            self._replication.is_reachable(member.identity, now_s)
            for member in same_name
        )
        if is_in_use or not self._may_join(event.sender):
            return
        kept = [
            member
            for member in configuration.members
            if member.is_voter or member.name != event.sender
        ]
        learner = Member(identity, event.sender, is_voter=False)
        self._propose((*kept, learner), now_s)

    def tick(self, now_s: float) -> None:
        """Propose the next change that keeps a reachable majority."""
        if not self._may_change():
            return
        for member in self._state.get_peers():
            changed = self._get_next_change(member, now_s)
            if changed and self._keeps_reachable_majority(changed, now_s):
                self._propose(changed, now_s)
                return

    def request_retirement(self, name: str, now_s: float) -> bool:
        """Ask a replica to retire its folder; return whether it was asked.

        The other reachable voters must form a majority.
        """
        state = self._state
        voters = [
            voter for voter in self._get_members_named(name) if voter.is_voter
        ]
        if name == state.settings.name or not voters or not self._may_change():
            return False
        others = self.get_reachable(now_s) - {
            voter.identity for voter in voters
        }
        if not state.has_quorum(others):
            return False
        for member in voters:
            state.send(member, RetireRequest(state.term))
        return True

    def retire_non_member(self, event: MessageReceived) -> None:
        """Ask a folder that is not in the configuration to retire."""
        if self._may_change():
            non_member = Member(
                event.route.sender, event.sender, is_voter=False
            )
            self._state.send(non_member, RetireRequest(self._state.term))

    def get_reachable(self, now_s: float) -> set[str]:
        """Return the identities of reachable members and of the leader."""
        reachable = {
            member.identity
            for member in self._state.get_peers()
            if self._replication.is_reachable(member.identity, now_s)
        }
        return reachable | {self._state.identity}

    def _send_join_hint(self, event: MessageReceived) -> None:
        names = {
            member.name for member in self._state.log.configuration.members
        }
        if names and self._state.settings.voters_max:
            non_member = Member(
                event.route.sender, event.sender, is_voter=False
            )
            self._state.send(non_member, JoinHint(tuple(sorted(names))))

    def _may_join(self, name: str) -> bool:
        settings = self._state.settings
        return settings.voters_max > 0 or name in settings.voters

    def _get_next_change(
        self,
        member: Member,
        now_s: float,
    ) -> tuple[Member, ...]:
        if member.is_voter or not self._is_caught_up(member, now_s):
            return ()
        members = self._state.log.configuration.members
        same_name = [
            other
            for other in self._get_members_named(member.name)
            if other != member
        ]
        if same_name:
            return self._remove_if_unreachable(same_name[0], now_s)
        if self._has_max_voters():
            return self._remove_longest_unreachable(now_s)
        return tuple(
            other._replace(is_voter=True) if other == member else other
            for other in members
        )

    def _remove_if_unreachable(
        self,
        replaced: Member,
        now_s: float,
    ) -> tuple[Member, ...]:
        if self._replication.is_reachable(replaced.identity, now_s):
            return ()
        members = self._state.log.configuration.members
        return tuple(member for member in members if member != replaced)

    def _has_max_voters(self) -> bool:
        voters_max = self._state.settings.voters_max
        members = self._state.log.configuration.members
        return 0 < voters_max <= sum(member.is_voter for member in members)

    def _remove_longest_unreachable(self, now_s: float) -> tuple[Member, ...]:
        # A replica that is gone for good may be replaced under another name.
        # While it counts as a voter, the cluster tolerates one failure less.
        get_progress = self._replication.get_progress
        voters = [
            member for member in self._state.get_peers() if member.is_voter
        ]
        unreachable = min(
            voters,
            key=lambda member: get_progress(member.identity).acknowledged_s,
        )
        contact_s = max(
            get_progress(unreachable.identity).acknowledged_s,
            self._replication.elected_s,
        )
        if now_s < contact_s + self._state.settings.replace_after_s:
            return ()
        members = self._state.log.configuration.members
        return tuple(member for member in members if member != unreachable)

    def _is_caught_up(self, member: Member, now_s: float) -> bool:
        progress = self._replication.get_progress(member.identity)
        is_reachable = self._replication.is_reachable(member.identity, now_s)
        return (
            is_reachable and progress.match_index >= self._commits.commit_index
        )

    def _keeps_reachable_majority(
        self, members: tuple[Member, ...], now_s: float
    ) -> bool:
        # A change without a reachable majority could not be committed, and
        # the leader would have to step down.
        reachable = self.get_reachable(now_s)
        voters = [member.identity for member in members if member.is_voter]
        return 2 * len(reachable.intersection(voters)) > len(voters)

    def _get_members_named(self, name: str) -> list[Member]:
        members = self._state.log.configuration.members
        return [member for member in members if member.name == name]

    def _may_change(self) -> bool:
        # The previous change and an entry of the current term must be
        # committed, or two leaders could have different changes in progress.
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
        self._replication.update_commit_index()
