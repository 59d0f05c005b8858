/// The protocol names of engine roles, engine states and order kinds.
#include "base/role_names.h"

namespace hawthorndrum {

std::string_view RoleName(engine_role role) {
  switch (role) {
    case engine_role::kMixed:
      return "mixed";
    case engine_role::kPrefill:
      return "prefill";
    case engine_role::kDecode:
      return "decode";
  }
  return "mixed";
}

engine_role RoleOf(std::string_view name) {
  if (name == "prefill") return engine_role::kPrefill;
  if (name == "decode") return engine_role::kDecode;
  return engine_role::kMixed;
}

std::string_view StateName(engine_state state) {
  switch (state) {
    case engine_state::kReady:
      return "ready";
    case engine_state::kChanging:
      return "changing";
    case engine_state::kDraining:
      return "draining";
  }
  return "ready";
}

engine_state StateOf(std::string_view name) {
  if (name == "changing") return engine_state::kChanging;
  if (name == "draining") return engine_state::kDraining;
  return engine_state::kReady;
}

std::string_view OrderKindName(order_kind kind) {
  switch (kind) {
    case order_kind::kSetRole:
      return "set_role";
    case order_kind::kLoadModel:
      return "load_model";
    case order_kind::kUnloadModel:
      return "unload_model";
    case order_kind::kLoadAdapter:
      return "load_adapter";
  }
  return "set_role";
}

}  // namespace hawthorndrum
