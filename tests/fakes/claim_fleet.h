/// Several daemons' claim systems over one fake store, with faults that a test injects and a
/// ledger of runs.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/metrics_registry.h"
#include "fake_clock.h"
#include "fake_object_store.h"
#include "fake_random_source.h"
#include "systems/claim_system_builder.h"
#include "systems/store_client.h"

namespace hawthorndrum {

/** An object_store that queues the store's answers while its daemon is paused. */
class pausable_store : public object_store, public store_listener {
 public:
  pausable_store(fake_object_store& store, int client) : raw_(store, client) {}

  store_call_id Submit(store_call call, store_listener& listener) override {
    const store_call_id id = raw_.Submit(std::move(call), *this);
    listeners_[id] = &listener;
    return id;
  }
  void OnStoreAnswer(store_call_id id, const store_answer& answer) override {
    if (paused) {
      held_.emplace_back(id, answer);
      return;
    }
    store_listener* listener = listeners_[id];
    listeners_.erase(id);
    listener->OnStoreAnswer(id, answer);
  }
  void Resume() {
    paused = false;
    std::vector<std::pair<store_call_id, store_answer>> held;
    held.swap(held_);
    for (const auto& [id, answer] : held) OnStoreAnswer(id, answer);
  }

  bool paused = false;

 private:
  fake_store_client raw_;
  std::map<store_call_id, store_listener*> listeners_;
  std::vector<std::pair<store_call_id, store_answer>> held_;
};

struct sent_message {
  int from = 0;
  int to = 0;
  peer_message message;
};

/** One daemon's peer port: sent messages wait in the fleet's queue. */
class queued_peers : public peer_port {
 public:
  queued_peers(int self, std::deque<sent_message>& queue) : self_(self), queue_(queue) {}
  static peer_id IdOf(int daemon) { return peer_id(static_cast<std::uint64_t>(daemon) + 101); }

  void Send(peer_id to, peer_message message) override {
    queue_.push_back({self_, static_cast<int>(to.value()) - 101, std::move(message)});
  }
  const std::vector<live_peer>& Peers() const override { return peers; }
  peer_id self() const override { return IdOf(self_); }

  std::vector<live_peer> peers;

 private:
  int self_;
  std::deque<sent_message>& queue_;
};

/** A lookup port that queues questions; the fleet answers them from its ledger. */
class queued_lookup : public lookup_port {
 public:
  void Ask(lookup_question question, lookup_listener& listener) override {
    questions.emplace_back(std::move(question), &listener);
  }
  std::vector<std::pair<lookup_question, lookup_listener*>> questions;
};

/** The decisions that callers received, and the requests that ran. */
struct run_ledger {
  std::map<claim_name, std::vector<request_id>> runs;
  std::set<request_id> ran;
  std::map<request_id, claim_decision> decisions;
  std::map<request_id, claim_name> names;
  int duplicate_decisions = 0;
};

/** One daemon. The test acts as its request path: a granted request waits in `granted`. */
struct fleet_daemon : public claim_listener {
  fleet_daemon(int daemon, std::uint64_t run, fake_object_store& store,
               std::deque<sent_message>& queue, run_ledger& runs, const claim_options& options)
      : index(daemon),
        incarnation(run),
        random(run),
        raw(store, daemon),
        client(raw, clock, random, metrics),
        peers(daemon, queue),
        ledger(runs),
        claims(claim_system_builder(client, peers, clock, random, metrics)
                   .Incarnation(incarnation)
                   .Options(options)
                   .Lookup(lookup)
                   .Build()) {}

  void OnClaimDecision(const claim_decision& decision) override {
    if (!ledger.decisions.emplace(decision.request, decision).second)
      ledger.duplicate_decisions += 1;
    if (decision.verdict == claim_verdict::kGranted) granted.push_back(decision.request);
  }

  int index;
  incarnation_id incarnation;
  fake_clock clock;
  fake_random_source random;
  metrics_registry metrics;
  pausable_store raw;
  store_client client;
  queued_peers peers;
  queued_lookup lookup;
  run_ledger& ledger;
  std::unique_ptr<claim_system> claims;
  std::vector<request_id> granted;
  std::vector<request_id> open;
  bool paused = false;
};

/** The fleet. It makes progress only through the test's calls. */
class claim_fleet {
 public:
  explicit claim_fleet(int daemons, claim_options options = {}, int data_centres = 1)
      : options_(options), data_centres_(data_centres) {
    for (int i = 0; i < daemons; ++i) daemons_.push_back(Start(i));
    ListPeers();
  }

  fleet_daemon& at(int daemon) { return *daemons_[static_cast<std::size_t>(daemon)]; }
  int size() const { return static_cast<int>(daemons_.size()); }
  fake_object_store& store() { return store_; }
  std::deque<sent_message>& messages() { return messages_; }
  run_ledger& ledger() { return ledger_; }
  std::vector<store_call>& late_writes() { return late_writes_; }

  request_id Claim(int daemon, const claim_name& name, std::uint64_t digest = 1,
                   duration timeout = seconds(10), bool lookup = false) {
    claim_request claim;
    claim.request = request_id(++last_request_);
    claim.service = name.service;
    claim.key = name.key;
    claim.digest = digest;
    claim.deadline = at(daemon).clock.Now() + timeout;
    if (lookup) claim.lookup_path = "/lookup";
    ledger_.names[claim.request] = name;
    at(daemon).open.push_back(claim.request);
    const request_id request = claim.request;
    at(daemon).claims->Claim(std::move(claim), at(daemon));
    return request;
  }

  static std::string AnswerOf(const claim_name& name, request_id request) {
    return name.service + "/" + name.key + "#" + std::to_string(request.value());
  }

  /** Records that the request reached the plain service and ran. */
  void Run(request_id request) {
    const claim_name& name = ledger_.names[request];
    ledger_.runs[name].push_back(request);
    ledger_.ran.insert(request);
  }
  http_answer Answer(request_id request) {
    return {200, {}, AnswerOf(ledger_.names[request], request)};
  }
  /** Runs a granted request and reports its answer. */
  void Finish(int daemon, request_id request) {
    Run(request);
    at(daemon).claims->ReportDone(request, Answer(request));
  }

  /** Kills the process and starts a new one. Its store calls in flight become late writes. */
  void Kill(int daemon) {
    for (const auto& waiting : store_.waiting()) {
      if (waiting.client == daemon) late_writes_.push_back(waiting.call);
    }
    store_.DropClient(daemon, false);
    daemons_[static_cast<std::size_t>(daemon)] = Start(daemon);
    ListPeers();
  }
  void Pause(int daemon) { at(daemon).paused = at(daemon).raw.paused = true; }
  void Resume(int daemon) {
    at(daemon).paused = false;
    at(daemon).raw.Resume();
  }
  void Cut(int a, int b, bool cut) {
    if (cut) {
      cuts_.insert(std::minmax(a, b));
    } else {
      cuts_.erase(std::minmax(a, b));
    }
    ListPeers();
  }

  void Tick(int daemon) {
    fleet_daemon& d = at(daemon);
    if (d.paused) return;
    d.client.Run(d.clock.Now());
    d.claims->Run(d.clock.Now());
  }
  void TickAll() {
    for (int i = 0; i < size(); ++i) Tick(i);
  }
  void Advance(duration time) {
    for (auto& daemon : daemons_) daemon->clock.Advance(time);
  }
  /** Removes a message from the queue and delivers it to its receiver, unless the link is cut. */
  void Deliver(std::size_t position) {
    const sent_message taken = messages_.at(position);
    messages_.erase(messages_.begin() + static_cast<std::ptrdiff_t>(position));
    if (taken.to < 0 || taken.to >= size()) return;
    if (taken.from % data_centres_ != taken.to % data_centres_) return;
    if (cuts_.count(std::minmax(taken.from, taken.to)) > 0) return;
    at(taken.to).claims->OnPeerMessage(queued_peers::IdOf(taken.from), taken.message);
  }
  void DeliverAll() {
    for (std::size_t i = 0; i < messages_.size();) {
      if (at(messages_[i].to).paused) {
        ++i;
        continue;
      }
      Deliver(i);
    }
  }
  /** Answers each daemon's lookups truthfully from the ledger. */
  void AnswerLookups() {
    for (auto& daemon : daemons_) {
      if (daemon->paused) continue;
      auto questions = std::move(daemon->lookup.questions);
      daemon->lookup.questions.clear();
      for (auto& [question, listener] : questions)
        listener->OnLookupAnswer(LookupFromLedger(question));
    }
  }
  /** Runs the fleet without new faults for `rounds` of `step` each. */
  void Settle(int rounds = 40, duration step = milliseconds(25)) {
    for (int i = 0; i < rounds; ++i) {
      TickAll();
      store_.RunAll();
      DeliverAll();
      AnswerLookups();
      Advance(step);
    }
    TickAll();
  }

  /** Returns the record that the store holds, or nullptr. */
  const claim_record* Stored(const claim_name& name) {
    for (const auto& [key, object] : store_.objects()) {
      if (key.rfind("claims/bucket/", 0) != 0) continue;
      const expected<claim_bucket> bucket = DecodeBucket(object.value);
      const claim_record* record = bucket ? bucket->Find(name) : nullptr;
      if (record == nullptr) continue;
      found_ = *record;
      return &found_;
    }
    return nullptr;
  }

  /** Returns the first broken invariant, or an empty text. */
  std::string Violations() const;

 private:
  std::unique_ptr<fleet_daemon> Start(int daemon) {
    return std::make_unique<fleet_daemon>(daemon, ++last_incarnation_, store_, messages_, ledger_,
                                          options_);
  }
  void ListPeers() {
    for (int i = 0; i < size(); ++i) {
      at(i).peers.peers.clear();
      for (int j = 0; j < size(); ++j) {
        if (j == i) continue;
        const bool same = i % data_centres_ == j % data_centres_;
        const bool linked = same && cuts_.count(std::minmax(i, j)) == 0;
        at(i).peers.peers.push_back({queued_peers::IdOf(j), at(j).incarnation, same, linked});
      }
    }
  }
  lookup_answer LookupFromLedger(const lookup_question& question) {
    lookup_answer answer;
    answer.request = question.request;
    const auto found = ledger_.runs.find({question.service, question.key});
    const bool ran = found != ledger_.runs.end() && !found->second.empty();
    answer.state = ran ? lookup_state::kDone : lookup_state::kNotRun;
    if (ran) answer.answer = Answer(found->second.front());
    return answer;
  }

  claim_options options_;
  int data_centres_;
  fake_object_store store_;
  std::deque<sent_message> messages_;
  run_ledger ledger_;
  std::vector<store_call> late_writes_;
  std::set<std::pair<int, int>> cuts_;
  std::vector<std::unique_ptr<fleet_daemon>> daemons_;
  std::uint64_t last_request_ = 0;
  std::uint64_t last_incarnation_ = 0;
  claim_record found_;
};

inline std::string claim_fleet::Violations() const {
  if (ledger_.duplicate_decisions > 0) return "a claim got two decisions";
  for (const auto& [name, runs] : ledger_.runs) {
    if (runs.size() > 1) return "ran twice: " + name.service + "/" + name.key;
  }
  for (const auto& [request, decision] : ledger_.decisions) {
    const claim_name& name = ledger_.names.at(request);
    const bool ran = ledger_.ran.count(request) > 0;
    if (ran && decision.verdict != claim_verdict::kGranted) return "ran without a grant";
    if (decision.verdict != claim_verdict::kAnswered) continue;
    const auto runs = ledger_.runs.find(name);
    if (runs == ledger_.runs.end() || runs->second.empty()) return "answered, but nothing ran";
    const std::string expected_body = AnswerOf(name, runs->second.front());
    if (decision.answer.status != 0 && decision.answer.body != expected_body)
      return "another's answer";
  }
  return {};
}

}  // namespace hawthorndrum
