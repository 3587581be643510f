#pragma once

#include <lua.hpp>
#include <nlohmann/json.hpp>

namespace wisteriadale::scenario {

/// Converts a JSON value to a Lua value and pushes it; null becomes nil.
void PushJson(lua_State* state, const nlohmann::json& value);

/// Converts a Lua value to JSON. A table with elements 1..n becomes an array,
/// any other table an object; an empty table with a field `n` of 0 becomes an
/// empty array.
/// @param index stack index of the value
nlohmann::json ToJson(lua_State* state, int index);

}  // namespace wisteriadale::scenario
