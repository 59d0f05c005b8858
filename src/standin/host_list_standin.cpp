/// Stand-in for the platform's host list.
#include "host_list_standin.h"

namespace hawthorndrum {

void host_list_standin::Replace(nlohmann::json hosts) {
  hosts_ = std::move(hosts);
  if (faults().lag == duration(0)) {
    visible_hosts_ = hosts_;
    return;
  }
  After(faults().lag, [this, later = hosts_] { visible_hosts_ = later; });
}

void host_list_standin::Handle(standin_reply reply, const http_request& message) {
  if (message.target != "/v1/hosts") return reply.Answer(404, "{}");
  if (message.method == "GET") {
    reads_ += 1;
    return reply.Answer(200, visible_hosts_.dump());
  }
  auto text = nlohmann::json::parse(message.body, nullptr, false);
  if (!text.is_object() || !text.contains("hosts")) return reply.Answer(400, "{}");
  Replace(std::move(text));
  reply.Answer(200, "{}");
}

nlohmann::json host_list_standin::Stats() const {
  return {{"reads", reads_}, {"hosts", hosts_["hosts"].size()}};
}

}  // namespace hawthorndrum
