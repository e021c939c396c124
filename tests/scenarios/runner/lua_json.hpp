#pragma once

#include <lua.hpp>
#include <string>

namespace fuchsiaquay::scenarios {

/// Pushes the value that a JSON text describes; objects and arrays become tables. Throws if
/// the text is not JSON.
void push_json(lua_State* state, const std::string& text);

/// JSON text of the Lua value at `index`. A table with a first element is an array; an empty
/// table is an object.
std::string json_text(lua_State* state, int index);

}  // namespace fuchsiaquay::scenarios
