/// The protocol names of engine roles, engine states and order kinds.
#pragma once

#include <string_view>

#include "ports/load_report.h"

namespace hawthorndrum {

std::string_view RoleName(engine_role role);
/** Returns the role with the name, or kMixed for an unknown name. */
engine_role RoleOf(std::string_view name);
std::string_view StateName(engine_state state);
/** Returns the state with the name, or kReady for an unknown name. */
engine_state StateOf(std::string_view name);
std::string_view OrderKindName(order_kind kind);

}  // namespace hawthorndrum
