"""What the operator of a soak wrote to the store, and when each router has to know it.

The store may be restored from a copy. What was acknowledged since the copy was made is
gone from the store until the operator writes it again, but a router that had it in force
keeps it."""

import bisect
import collections
import heapq

APPLY_S = 3  # A router that is calm has a version in force this long after its acknowledgement.
REVERT_S = 0.25  # Requests in progress at a change may still see the version before it.
ROUTES_KEPT = 3  # Each version adds a route, and removes the one that was added this many versions before.


def ns(seconds):
    return int(seconds * 1e9)


class Version:
    def __init__(self, number, has_temporary_key):
        self.number = number
        self.has_temporary_key = has_temporary_key
        self.sent = None  # When it was first sent.
        self.acknowledged = []  # (begin, end) of the calls that the store acknowledged.

    def added_routes(self):
        """Returns the versions whose added routes this version has."""
        return range(max(1, self.number - ROUTES_KEPT + 1), self.number + 1)

    def allows(self, seen):
        """Returns whether a router may answer as seen while this version is in force."""
        if seen["route"] is not None:
            return (seen["route"] in self.added_routes()) == seen["is_served"]
        return self.has_temporary_key == seen["is_served"]


class Restoration:
    def __init__(self, begin, end, copied, back):
        self.begin, self.end = begin, end  # Of the call that caused it.
        self.copied = copied  # The copy has everything that was acknowledged before.
        self.back = back  # When the store is in reach again.
        self.written_again = None  # When the operator had written its last version again.

    def loses(self, call):
        begin, end = call
        return begin < self.end and end > self.copied


class Configurations:
    def __init__(self):
        self.versions = []
        self.restorations = []

    def has_lost(self, call, until):
        """Returns whether a restoration before "until" has undone an acknowledged call."""
        return any(each.begin < until and each.loses(call) for each in self.restorations)

    def required(self, begin, is_calm):
        """Returns the highest version that a router must have in force for a request sent at "begin". is_calm(first,
        last) tells whether the router and the store were undisturbed."""
        for version in reversed(self.versions):
            for call in version.acknowledged:
                if call[1] + ns(APPLY_S) <= begin and not self.has_lost(call, begin) and is_calm(call[1], begin):
                    return version.number
        return 0

    def first_allowing(self, seen, lowest):
        """Returns the lowest version from "lowest" on that explains an answer, or None."""
        return next((each.number for each in self.versions
                     if each.number >= lowest and each.sent is not None and each.sent < seen["end"] and each.allows(seen)), None)

    def check(self, seen, starts, is_undisturbed, report):
        """Checks the answers of each start of each router, in the order in which they were asked for."""
        by_process = collections.defaultdict(list)
        for each in seen:
            process = bisect.bisect(starts[each["router"]], each["begin"])
            if process == bisect.bisect(starts[each["router"]], each["end"]):
                by_process[each["router"], process].append(each)
        for (router, _), answers in by_process.items():
            def is_calm(first, last):
                return is_undisturbed(router, first, last) and is_undisturbed("store", first, last)

            in_force, pending = 0, []
            for each in sorted(answers, key=lambda answer: answer["begin"]):
                while pending and pending[0][0] < each["begin"] - ns(REVERT_S):
                    in_force = max(in_force, heapq.heappop(pending)[1])
                explained = self.first_allowing(each, in_force)
                if explained is None:
                    report("a configuration that was in force stays in force", each["record"], in_force=in_force, **self.shown(each))
                    continue
                required = self.required(each["begin"], is_calm)
                if self.first_allowing(each, required) is None:
                    report("an acknowledged configuration is in force in time", each["record"], required=required, **self.shown(each))
                heapq.heappush(pending, (each["end"], explained))

    @staticmethod
    def shown(seen):
        return {"route": seen["route"], "is_served": seen["is_served"], "at": seen["begin"]}

    def withdrawals(self, key_events):
        """Returns the spans in which the temporary key was withdrawn, as (acknowledgement of the withdrawal, end)."""
        spans, taken = [], None
        for event, _, at in key_events:
            if event == "key_taken":
                taken = taken or at
            if event == "key_given" and taken:
                spans.append((taken, at))
                taken = None
        return spans

    def is_withdrawn(self, taken, begin, at, bound_s, was_calm):
        """Returns whether a key that was withdrawn at "taken" must be rejected by a router in a request sent at
        "begin" that runs at "at". was_calm tells whether the router was undisturbed from the withdrawal on, so that it
        had learned of it before a restoration."""
        if begin <= taken + ns(bound_s):
            return False
        for each in self.restorations:
            is_lost = each.loses((taken, taken)) and each.begin < at
            had_learned = was_calm and taken + ns(bound_s) <= each.begin
            is_again_due = each.written_again is not None and begin > each.written_again + ns(bound_s)
            if is_lost and not had_learned and not is_again_due:
                return False
        return True

    def shown_history(self):
        return {"versions": [vars(each) for each in self.versions], "restorations": [vars(each) for each in self.restorations]}
