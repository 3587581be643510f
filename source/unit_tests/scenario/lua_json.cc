#include "unit_tests/scenario/lua_json.h"

namespace wisteriadale::scenario {
namespace {

using nlohmann::json;

json TableToJson(lua_State* state, int index) {
  const lua_Unsigned length = lua_rawlen(state, index);
  lua_getfield(state, index, "n");
  const bool empty_array = lua_isinteger(state, -1) != 0;
  lua_pop(state, 1);
  if (length > 0 || empty_array) {
    json array = json::array();
    for (lua_Unsigned i = 1; i <= length; ++i) {
      lua_rawgeti(state, index, static_cast<lua_Integer>(i));
      array.push_back(ToJson(state, -1));
      lua_pop(state, 1);
    }
    return array;
  }
  json object = json::object();
  lua_pushnil(state);
  while (lua_next(state, index) != 0) {
    // lua_tostring converts in place, which would confuse lua_next: use a copy
    // of the key.
    lua_pushvalue(state, -2);
    const std::string key = lua_tostring(state, -1);
    lua_pop(state, 1);
    object[key] = ToJson(state, -1);
    lua_pop(state, 1);
  }
  return object;
}

}  // namespace

void PushJson(lua_State* state, const json& value) {
  luaL_checkstack(state, 4, "JSON is nested too deeply");
  if (value.is_boolean()) {
    lua_pushboolean(state, value.get<bool>() ? 1 : 0);
  } else if (value.is_number_integer()) {
    lua_pushinteger(state, value.get<lua_Integer>());
  } else if (value.is_number()) {
    lua_pushnumber(state, value.get<double>());
  } else if (value.is_string()) {
    const std::string& text = value.get_ref<const std::string&>();
    lua_pushlstring(state, text.data(), text.size());
  } else if (value.is_array()) {
    lua_newtable(state);
    lua_Integer index = 0;
    for (const json& element : value) {
      PushJson(state, element);
      lua_rawseti(state, -2, ++index);
    }
  } else if (value.is_object()) {
    lua_newtable(state);
    for (const auto& [key, child] : value.items()) {
      PushJson(state, child);
      lua_setfield(state, -2, key.c_str());
    }
  } else {
    lua_pushnil(state);
  }
}

json ToJson(lua_State* state, int index) {
  luaL_checkstack(state, 4, "the table is nested too deeply");
  switch (lua_type(state, index)) {
    case LUA_TBOOLEAN:
      return lua_toboolean(state, index) != 0;
    case LUA_TNUMBER:
      if (lua_isinteger(state, index) != 0) return lua_tointeger(state, index);
      return lua_tonumber(state, index);
    case LUA_TSTRING: {
      size_t length = 0;
      const char* text = lua_tolstring(state, index, &length);
      return std::string(text, length);
    }
    case LUA_TTABLE:
      return TableToJson(state, lua_absindex(state, index));
    default:
      return nullptr;
  }
}

}  // namespace wisteriadale::scenario
