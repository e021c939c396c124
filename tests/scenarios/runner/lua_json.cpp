#include "tests/scenarios/runner/lua_json.hpp"

#include <cpprest/json.h>

namespace fuchsiaquay::scenarios {

namespace json = web::json;

namespace {

void push_value(lua_State* state, const json::value& value) {
    luaL_checkstack(state, 4, "JSON is nested too deeply");
    if (value.is_object()) {
        lua_newtable(state);
        for (const auto& [name, field] : value.as_object()) {
            push_value(state, field);
            lua_setfield(state, -2, name.c_str());
        }
    } else if (value.is_array()) {
        lua_newtable(state);
        lua_Integer index = 0;
        for (const json::value& element : value.as_array()) {
            push_value(state, element);
            lua_rawseti(state, -2, ++index);
        }
    } else if (value.is_string()) {
        lua_pushstring(state, value.as_string().c_str());
    } else if (value.is_boolean()) {
        lua_pushboolean(state, value.as_bool() ? 1 : 0);
    } else if (value.is_integer()) {
        lua_pushinteger(state, value.as_number().to_int64());
    } else if (value.is_double()) {
        lua_pushnumber(state, value.as_double());
    } else {
        lua_pushnil(state);
    }
}

json::value read_value(lua_State* state, int index);

json::value read_table(lua_State* state, int index) {
    const auto length = static_cast<lua_Integer>(lua_rawlen(state, index));
    if (length > 0) {
        json::value list = json::value::array();
        for (lua_Integer i = 1; i <= length; ++i) {
            lua_rawgeti(state, index, i);
            list[static_cast<std::size_t>(i - 1)] = read_value(state, lua_gettop(state));
            lua_pop(state, 1);
        }
        return list;
    }
    json::value object = json::value::object();
    lua_pushnil(state);
    while (lua_next(state, index) != 0) {
        object[lua_tostring(state, -2)] = read_value(state, lua_gettop(state));
        lua_pop(state, 1);
    }
    return object;
}

json::value read_value(lua_State* state, int index) {
    switch (lua_type(state, index)) {
        case LUA_TTABLE:
            return read_table(state, index);
        case LUA_TSTRING:
            return json::value::string(lua_tostring(state, index));
        case LUA_TBOOLEAN:
            return json::value::boolean(lua_toboolean(state, index) != 0);
        case LUA_TNUMBER:
            return lua_isinteger(state, index) != 0
                       ? json::value::number(static_cast<std::int64_t>(lua_tointeger(state, index)))
                       : json::value::number(lua_tonumber(state, index));
        default:
            return json::value::null();
    }
}

}  // namespace

void push_json(lua_State* state, const std::string& text) {
    push_value(state, json::value::parse(text));
}

std::string json_text(lua_State* state, int index) {
    return read_value(state, lua_absindex(state, index)).serialize();
}

}  // namespace fuchsiaquay::scenarios
