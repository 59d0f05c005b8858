/// A claim gate whose decisions are made by the test, and that counts the reports.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "systems/claim_gate.h"

namespace hawthorndrum {

struct claim_record {
  claim_request claim;
  claim_listener* listener = nullptr;
  bool decided = false;
  bool granted = false;
  bool forgotten = false;
  int done = 0;
  int not_run = 0;
  int unknown = 0;
  http_answer answer;

  int Reports() const { return done + not_run + unknown; }
};

class fake_claim_gate : public claim_gate {
 public:
  void Claim(claim_request claim, claim_listener& listener) override {
    const request_id id = claim.request;
    claim_record& record = records[id];
    record.claim = std::move(claim);
    record.listener = &listener;
    if (grants_at_once) Decide(id, claim_verdict::kGranted);
  }
  claim_decision Forget(request_id request) override {
    records[request].forgotten = true;
    claim_decision decision = known_on_forget;
    decision.request = request;
    return decision;
  }
  void ReportDone(request_id request, const http_answer& answer) override {
    records[request].done += 1;
    records[request].answer = answer;
  }
  void ReportNotRun(request_id request) override { records[request].not_run += 1; }
  void ReportUnknown(request_id request) override { records[request].unknown += 1; }

  void Decide(request_id request, claim_verdict verdict, http_answer answer = {}) {
    claim_record& record = records[request];
    record.decided = true;
    record.granted = verdict == claim_verdict::kGranted;
    record.listener->OnClaimDecision({request, verdict, std::move(answer), "test"});
  }

  bool grants_at_once = true;
  claim_decision known_on_forget;
  std::map<request_id, claim_record> records;
};

}  // namespace hawthorndrum
