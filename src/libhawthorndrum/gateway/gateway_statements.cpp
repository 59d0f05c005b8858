/// Heeds what upstreams say about themselves in their answers.
#include "base/log_record.h"
#include "base/metrics_registry.h"
#include "gateway/gateway.h"
#include "ports/event_log.h"

namespace hawthorndrum {

namespace {

/** Returns whether the answer is of another upstream than the one that was called. */
bool IsOfAnother(const answer_terms& terms, const fleet_upstream& called) {
  return terms.is_wrong_upstream || (!terms.upstream.empty() && terms.upstream != called.entry.id);
}

}  // namespace

void gateway::HeedStatements(fleet_upstream& row, const answer_terms& terms, time_point now) {
  if (IsOfAnother(terms, row)) return;
  if (terms.leaving && !row.said.leaving_since) {
    row.said.leaving_since = now;
    ports_.metrics->Counter("gateway_upstreams_leaving_total").Add();
    ports_.log->Write(log_importance::kImportant, log_record("upstream_leaving")
                                                      .Text("upstream", row.entry.id)
                                                      .Text("source", "answer")
                                                      .Number("age_ms", 0));
  }
}

}  // namespace hawthorndrum
