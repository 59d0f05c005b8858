"""Teams and keys of the soak: what callers send, when keys are taken away, and the checks."""

import random
import time

TEAMS = 5
CONFIG_BOUND_S = 3.0  # A configuration is in force everywhere within this of its confirmation.
STABILITY_WINDOW_S = 4.0
UNKNOWN_SHARE = 0.04
TAKEN_AWAY_SHARE = 0.3  # Of the callers of a team whose key was replaced, those who keep the old.
OPEN_ROUTES = ("/stream/note/",)
KEY_HEADER, TEAM_HEADER = "api-key", "x-hawthorndrum-tenant"


class TeamKeys:
    """Each team has a key that stays and one that is replaced now and then."""

    def __init__(self, seed, disturbances):
        self.rng = random.Random(seed + 5)
        self.disturbances = disturbances
        self.teams = ["team%d" % i for i in range(TEAMS)]
        self.kept = {"kept-%s-%d" % (team, seed): team for team in self.teams}
        self.replaced = {}  # Newest key of each team that is replaced.
        self.holders = dict(self.kept)  # Every key of every configuration.
        self.confirmed = {}  # When the configuration with a key was confirmed.
        self.removing, self.removed = {}, {}  # When its removal was sent, and confirmed.
        self.sent = {}  # (key, time, port) of each request.
        self.counts = {"taken away": 0, "runs": 0, "refused": 0, "refused in time": 0}
        for team in self.teams:
            self.add_key(team)

    def add_key(self, team):
        key = "k%012x" % self.rng.getrandbits(48)
        self.replaced[team] = key
        self.holders[key] = team

    def replace_some(self):
        """Gives a team another key; call `written` once the configuration is confirmed."""
        team = self.rng.choice(self.teams)
        self.removing[self.replaced[team]] = time.monotonic()
        self.add_key(team)
        self.counts["taken away"] += 1

    def spec(self):
        return [{"name": team, "priority": i % 3,
                 "api_keys": [self.replaced[team]] + [k for k, t in self.kept.items() if t == team]}
                for i, team in enumerate(self.teams)]

    def written(self):
        now = time.monotonic()
        for key in self.replaced.values():
            self.confirmed.setdefault(key, now)
        for key in self.removing:
            self.removed.setdefault(key, now)

    def choose(self, team):
        """Returns the key that a caller of the team sends."""
        if self.rng.random() < UNKNOWN_SHARE:
            return self.rng.choice(["", "never%x" % self.rng.getrandbits(32), self.replaced[team][:-1]])
        taken = [key for key in self.removed if self.holders[key] == team]
        if taken and self.rng.random() < TAKEN_AWAY_SHARE:
            return taken[-1]
        return self.rng.choice([k for k, t in self.kept.items() if t == team] +
                               [self.replaced[team]])

    def on_sent(self, attempt, key):
        self.sent[attempt.request] = (key, time.monotonic(), attempt.port)

    def was_calm(self, port, since, until):
        scopes = {"store", "cut-%d" % port, "gateway-%d" % port, "stopping-%d" % port}
        return not self.disturbances.overlap(since, until, scopes)

    def may_be_unknown(self, key, at):
        """Returns whether some configuration that may be in force lacks the key."""
        if key in self.kept:
            return False
        return key in self.removing or at < self.confirmed.get(key, at) + CONFIG_BOUND_S

    def check_offer(self, request, target, headers, fail):
        """Checks a request that reached a worker, also one that only has its prompt prefilled."""
        if KEY_HEADER in headers:
            fail("%s reached a worker with its key" % request)
        if request not in self.sent:
            return
        key, at, port = self.sent[request]
        team = headers.get(TEAM_HEADER)
        self.counts["runs"] += 1
        holder = self.holders.get(key)
        is_open = target.startswith(OPEN_ROUTES)
        if team != holder and not (is_open and team is None and self.may_be_unknown(key, at)):
            fail("%s of %s reached a worker as one of %s" % (request, holder, team))
        if is_open:
            return
        if holder is None:
            fail("%s reached a worker though no team holds its key" % request)
        removed = self.removed.get(key)
        if removed is None or at < removed + CONFIG_BOUND_S:
            return
        if self.was_calm(port, removed - STABILITY_WINDOW_S, at):
            fail("%s reached a worker %.1f s after its key was taken away" % (request, at - removed))

    def check_refusal(self, request, target, fail):
        """Checks a 401, which only callers without a valid key may get."""
        key, at, port = self.sent[request]
        self.counts["refused"] += 1
        if target.startswith(OPEN_ROUTES):
            return fail("%s got 401 on an open route" % request)
        removed = self.removed.get(key)
        if removed is not None and at > removed + CONFIG_BOUND_S:
            self.counts["refused in time"] += 1
        if key in self.kept:
            return fail("%s got 401 with a key of all configurations" % request)
        since = self.confirmed.get(key)
        if key in self.holders and key not in self.removing and since is not None and \
                at > since + CONFIG_BOUND_S and self.was_calm(port, since - STABILITY_WINDOW_S, at):
            fail("%s got 401 %.1f s after its key was added" % (request, at - since))

    def check(self, fail):
        if self.counts["runs"] and not self.counts["refused"]:
            fail("no caller without a valid key was refused")
