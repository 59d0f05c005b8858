/// The names of engine roles and states in the protocols.
#pragma once

#include <string_view>

#include "ports/load_report.h"

namespace hawthorndrum {

std::string_view RoleName(engine_role role);
/** The role of that name; kMixed for an unknown one. */
engine_role RoleOf(std::string_view name);
std::string_view StateName(engine_state state);
/** The state of that name; kReady for an unknown one. */
engine_state StateOf(std::string_view name);
std::string_view OrderKindName(order_kind kind);

}  // namespace hawthorndrum
