#include "tests/scenarios/runner/lua_arguments.hpp"

namespace fuchsiaquay::scenarios {

std::string text_argument(lua_State* state, int index, const char* name,
                          const std::string& fallback) {
    lua_getfield(state, index, name);
    std::string value = lua_isnil(state, -1) ? fallback : luaL_checkstring(state, -1);
    lua_pop(state, 1);
    return value;
}

std::int64_t number_argument(lua_State* state, int index, const char* name, std::int64_t fallback) {
    lua_getfield(state, index, name);
    const std::int64_t value =
        lua_isnil(state, -1) ? fallback : static_cast<std::int64_t>(luaL_checknumber(state, -1));
    lua_pop(state, 1);
    return value;
}

bool flag_argument(lua_State* state, int index, const char* name, bool fallback) {
    lua_getfield(state, index, name);
    const bool value = lua_isnil(state, -1) ? fallback : lua_toboolean(state, -1) != 0;
    lua_pop(state, 1);
    return value;
}

}  // namespace fuchsiaquay::scenarios
