/// Fault matrix of claims: each fault at each step, forwarded and direct. Prints the verdicts.
#include <gtest/gtest.h>

#include <array>
#include <cstdio>

#include "base/hash.h"
#include "claim_fleet.h"

namespace hawthorndrum {
namespace {

enum class at_step {
  kReceived,
  kReading,
  kWriting,
  kStored,
  kGranted,
  kRunning,
  kReported,
  kSettling,
  kSettled,
  kCount,
};
constexpr std::array<const char*, 9> kStepNames = {"received", "reading",  "writing",
                                                   "stored",   "granted",  "running",
                                                   "reported", "settling", "settled"};

enum class fault {
  kNone,
  kKillClaimant,
  kKillOwner,
  kKillBoth,
  kPauseClaimant,
  kPauseOwner,
  kPauseClaimantTwice,
  kCutLinks,
  kCutClaimantFromStore,
  kClaimantStoreHangs,
  kOutage,
  kOutageOfAnHour,
  kStoreHangs,
  kStoreSlow,
  kWritesLandLate,
  kAnswersLost,
  kMessagesLost,
  kMessagesRepeated,
  kClaimantClockJumps,
  kPauseClaimantInOutage,
  kPauseClaimantLateWrites,
  kCutLinksAnswersLost,
  kCount,
};
constexpr std::array<const char*, 22> kFaultNames = {
    "none",         "kill claimant", "kill owner",     "kill both",   "pause claimant",
    "pause owner",  "pause twice",   "cut links",      "cut store",   "claimant store hung",
    "outage",       "outage hour",   "store hangs",    "store slow",  "late writes",
    "answers lost", "messages lost", "messages twice", "clock jumps", "pause+outage",
    "pause+late",   "cut+lost"};

constexpr int kClaimant = 0;
constexpr int kOther = 1;
constexpr int kThird = 2;
const claim_name kPayment{"pay", "k1"};

bool IsBucketCall(const store_call& call, bool write) {
  const bool is_write = call.operation != store_operation::kGet;
  return is_write == write && call.key.rfind("claims/bucket/", 0) == 0;
}

/** One cell of the matrix: a fault that begins at a step. */
class cell {
 public:
  cell(at_step step, fault f, bool forward) : step_(step), fault_(f), fleet_(3, Options(forward)) {}

  /** Runs the cell; returns what went wrong, or an empty text. */
  std::string RunCell() {
    const request_id warm_up = fleet_.Claim(kClaimant, {"pay", "warm-up"});
    fleet_.Settle(10);
    if (fleet_.ledger().decisions.count(warm_up) == 0) return "the fleet does not start";
    first_ = fleet_.Claim(kClaimant, kPayment, 1, seconds(8));
    if (!ReachStep()) return "the step is not reached";
    StartFault();
    const request_id meanwhile = fleet_.Claim(kThird, kPayment, 1, seconds(3));
    RunRounds(fault_ == fault::kOutageOfAnHour ? 3600 : 400,
              fault_ == fault::kOutageOfAnHour ? milliseconds(1000) : milliseconds(25));
    EndFault();
    const request_id afterwards = fleet_.Claim(kOther, kPayment, 1, seconds(5));
    fleet_.Settle(300);
    FinishAll();
    fleet_.Settle(300);
    verdicts_ = {VerdictLetter(first_), VerdictLetter(meanwhile), VerdictLetter(afterwards)};
    return Check(meanwhile, afterwards);
  }

  const std::string& verdicts() const { return verdicts_; }

 private:
  static claim_options Options(bool forward) {
    claim_options options;
    options.layout = {1, 1};
    options.commit.archive_above = 100;
    options.forward = forward;
    return options;
  }

  bool Has(bool write) {
    for (const auto& waiting : fleet_.store().waiting()) {
      if (IsBucketCall(waiting.call, write)) return true;
    }
    return false;
  }

  bool ReachCall(bool write) {
    for (int i = 0; i < 100; ++i) {
      fleet_.TickAll();
      fleet_.DeliverAll();
      fleet_.TickAll();
      if (Has(write)) return true;
      fleet_.store().RunAll();
      fleet_.Advance(milliseconds(5));
    }
    return false;
  }

  bool ReachGrant() {
    fleet_.Settle(10);
    return !fleet_.at(kClaimant).granted.empty() && fleet_.at(kClaimant).granted.back() == first_;
  }

  bool ReachStep() {
    switch (step_) {
      case at_step::kReceived:
        return true;
      case at_step::kReading:
        // Another writer changes the bucket, so that the owner has to read it again.
        fleet_.Claim(kThird, {"pay", "another"});
        return ReachCall(true) && RewriteBucket() && ReachCall(false);
      case at_step::kWriting:
        return ReachCall(true);
      case at_step::kStored:
        if (!ReachCall(true)) return false;
        fleet_.store().RunAll();
        return fleet_.Stored(kPayment) != nullptr;
      case at_step::kGranted:
        return ReachGrant();
      case at_step::kRunning:
        if (!ReachGrant()) return false;
        fleet_.Run(first_);
        return true;
      case at_step::kReported:
      case at_step::kSettling:
      case at_step::kSettled:
        return ReachReported();
      case at_step::kCount:
        return false;
    }
    return false;
  }

  bool ReachReported() {
    if (!ReachGrant()) return false;
    fleet_.Finish(kClaimant, first_);
    finished_ = true;
    if (step_ == at_step::kSettling) return ReachCall(true);
    if (step_ == at_step::kSettled) fleet_.Settle(20);
    return true;
  }

  /** Writes the bucket without any daemon, which gives it a new version. */
  bool RewriteBucket() {
    store_call call;
    call.operation = store_operation::kUpdate;
    call.key = BucketKey(0);
    const auto& object = fleet_.store().objects().at(call.key);
    call.expected = object.version;
    call.value = object.value;
    return fleet_.store().Apply(call).outcome == store_outcome::kDone;
  }

  int Owner() {
    int owner = 0;
    for (int i = 1; i < fleet_.size(); ++i) {
      const auto score = [](int d) { return RendezvousScore(0, queued_peers::IdOf(d).value()); };
      if (score(i) > score(owner)) owner = i;
    }
    return owner;
  }

  void StartFault() {
    const bool pauses = fault_ == fault::kPauseClaimant || fault_ == fault::kPauseClaimantTwice ||
                        fault_ == fault::kPauseClaimantInOutage ||
                        fault_ == fault::kPauseClaimantLateWrites;
    if (pauses) fleet_.Pause(kClaimant);
    if (fault_ == fault::kPauseOwner) fleet_.Pause(Owner());
    if (fault_ == fault::kKillClaimant || fault_ == fault::kKillBoth) KillClaimant();
    if (fault_ == fault::kKillOwner || fault_ == fault::kKillBoth) {
      if (Owner() == kClaimant) killed_ = true;
      fleet_.Kill(Owner());
    }
    if (fault_ == fault::kCutLinks || fault_ == fault::kCutLinksAnswersLost) CutLinks(true);
    if (fault_ == fault::kClaimantClockJumps) {
      fleet_.at(kClaimant).clock.Advance(std::chrono::hours(1));
    }
  }

  void KillClaimant() {
    killed_ = true;
    fleet_.Kill(kClaimant);
  }

  void CutLinks(bool cut) {
    fleet_.Cut(kClaimant, kOther, cut);
    fleet_.Cut(kClaimant, kThird, cut);
  }

  /** Applies the fault to the store call at that position; true if that removed it. */
  bool ApplyFaultToCall(std::size_t position, int round) {
    fake_object_store& store = fleet_.store();
    const auto waiting = store.waiting().at(position);
    const bool of_claimant = waiting.client == kClaimant;
    const bool write = waiting.call.operation != store_operation::kGet;
    constexpr int kSlowRounds = 120;
    switch (fault_) {
      case fault::kCutClaimantFromStore:
        if (!of_claimant) break;
        store.FailAt(position, store_outcome::kRefused);
        return true;
      case fault::kClaimantStoreHangs:
        if (of_claimant) return false;
        break;
      case fault::kOutage:
      case fault::kOutageOfAnHour:
      case fault::kPauseClaimantInOutage:
        store.FailAt(position, store_outcome::kRefused);
        return true;
      case fault::kStoreHangs:
        return false;
      case fault::kStoreSlow:
        // Longer than the call's timeout: it takes effect after the client has stopped waiting.
        if (round % kSlowRounds != kSlowRounds - 1) return false;
        break;
      case fault::kWritesLandLate:
      case fault::kPauseClaimantLateWrites:
        if (!write) break;
        fleet_.late_writes().push_back(store.DelayAt(position));
        return true;
      case fault::kAnswersLost:
      case fault::kCutLinksAnswersLost:
        if (!write) break;
        store.RunAtLosingAnswer(position);
        return true;
      default:
        break;
    }
    store.RunAt(position);
    return true;
  }

  void RunRounds(int rounds, duration step) {
    for (int round = 0; round < rounds; ++round) {
      fleet_.TickAll();
      for (std::size_t position = 0; position < fleet_.store().waiting().size();) {
        if (!ApplyFaultToCall(position, round)) ++position;
      }
      ApplyFaultToMessages();
      if (fault_ == fault::kPauseClaimantTwice && round == rounds / 2) {
        fleet_.Resume(kClaimant);
        fleet_.Tick(kClaimant);
        fleet_.Pause(kClaimant);
      }
      fleet_.Advance(step);
      if (!fleet_.Violations().empty()) return;
    }
  }

  void ApplyFaultToMessages() {
    if (fault_ == fault::kMessagesLost) fleet_.messages().clear();
    if (fault_ == fault::kMessagesRepeated) {
      const std::vector<sent_message> again(fleet_.messages().begin(), fleet_.messages().end());
      fleet_.messages().insert(fleet_.messages().end(), again.begin(), again.end());
    }
    fleet_.DeliverAll();
  }

  void EndFault() {
    for (int i = 0; i < fleet_.size(); ++i) fleet_.Resume(i);
    CutLinks(false);
    for (const store_call& late : fleet_.late_writes()) fleet_.store().Apply(late);
    fleet_.late_writes().clear();
    // Longer than any breaker stays open.
    fleet_.Settle(80, milliseconds(250));
  }

  /** Finishes the requests that were granted and have not ended. */
  void FinishAll() {
    for (int i = 0; i < fleet_.size(); ++i) {
      for (const request_id request : fleet_.at(i).granted) {
        if (fleet_.ledger().names.at(request) == kPayment) FinishOne(i, request);
      }
    }
  }

  void FinishOne(int daemon, request_id request) {
    if (request == first_ && (finished_ || killed_)) return;
    if (fleet_.ledger().ran.count(request) == 0) {
      fleet_.Finish(daemon, request);
    } else {
      fleet_.at(daemon).claims->ReportDone(request, fleet_.Answer(request));
    }
  }

  char VerdictLetter(request_id request) {
    const auto found = fleet_.ledger().decisions.find(request);
    if (found == fleet_.ledger().decisions.end()) return '-';
    constexpr std::array<char, 5> kLetters = {'G', 'A', 'U', 'N', 'M'};
    return kLetters[static_cast<std::size_t>(found->second.verdict)];
  }

  std::string Check(request_id meanwhile, request_id afterwards) {
    const std::string violations = fleet_.Violations();
    if (!violations.empty()) return violations;
    if (VerdictLetter(meanwhile) == '-' || VerdictLetter(afterwards) == '-')
      return "a claim without a decision";
    if (VerdictLetter(first_) == '-' && !killed_) return "the first claim has no decision";
    if (VerdictLetter(afterwards) == 'N') return "refused although all faults have ended";
    // If the earlier claims were decided as not run, the next attempt must run.
    const bool none_ran = VerdictLetter(first_) == 'N' && (VerdictLetter(meanwhile) == 'N');
    if (none_ran && VerdictLetter(afterwards) != 'G')
      return "decided as not run, and the next attempt does not run";
    const bool one_runs = fleet_.ledger().runs[kPayment].size() == 1;
    if (!killed_ && !one_runs) return "nothing ran in the end";
    return {};
  }

  at_step step_;
  fault fault_;
  claim_fleet fleet_;
  request_id first_;
  bool killed_ = false;
  bool finished_ = false;
  std::string verdicts_;
};

TEST(ClaimFaultMatrix, EveryStepUnderEveryFault) {
  int cells = 0;
  int bad = 0;
  for (const bool forward : {true, false}) {
    std::printf(
        "%s: first / meanwhile / afterwards (G granted, A answered, U unknown, N not run)\n",
        forward ? "forwarded" : "direct");
    std::printf("%-20s", "");
    for (const char* name : kStepNames) std::printf("%-9s", name);
    std::printf("\n");
    for (int f = 0; f < static_cast<int>(fault::kCount); ++f) {
      std::printf("%-20s", kFaultNames[static_cast<std::size_t>(f)]);
      for (int s = 0; s < static_cast<int>(at_step::kCount); ++s) {
        cell c(static_cast<at_step>(s), static_cast<fault>(f), forward);
        const std::string wrong = c.RunCell();
        cells += 1;
        if (!wrong.empty()) bad += 1;
        EXPECT_EQ(wrong, "") << kFaultNames[static_cast<std::size_t>(f)] << " at "
                             << kStepNames[static_cast<std::size_t>(s)] << " " << c.verdicts();
        std::printf("%-9s", c.verdicts().c_str());
      }
      std::printf("\n");
    }
  }
  std::printf("cells %d, broken %d\n", cells, bad);
}

}  // namespace
}  // namespace hawthorndrum
