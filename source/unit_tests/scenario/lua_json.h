#pragma once

#include <lua.hpp>
#include <nlohmann/json.hpp>

namespace wisteriadale::scenario {

/// Pushes a JSON value as a Lua value; null becomes nil.
void PushJson(lua_State* state, const nlohmann::json& value);

/// Reads a Lua value as JSON. A table with elements 1..n is an array, any
/// other an object; an empty table with a field `n` of 0 is an empty array.
nlohmann::json ToJson(lua_State* state, int index);

}  // namespace wisteriadale::scenario
