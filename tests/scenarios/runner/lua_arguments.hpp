#pragma once

#include <cstdint>
#include <lua.hpp>
#include <string>

namespace fuchsiaquay::scenarios {

/// Field of the table at `index`, or `fallback` if it is absent.
std::string text_argument(lua_State* state, int index, const char* name,
                          const std::string& fallback = "");
std::int64_t number_argument(lua_State* state, int index, const char* name,
                             std::int64_t fallback = 0);
bool flag_argument(lua_State* state, int index, const char* name, bool fallback);

}  // namespace fuchsiaquay::scenarios
