#pragma once

#include <lua.hpp>

namespace fuchsiaquay::scenarios {

class scenario;

/// Registers the functions of the scenario scripts in `state`; they act on `target`, which must
/// outlive the state. tests/scenarios/prelude.lua builds on them:
/// - start(name, executable, {arguments}), signal(name, number), running(name)
/// - wait_for_end(name, seconds) -> code, output(name)
/// - free_port(), write_file(name, text), sleep(seconds), now_ms(), note(text), seed()
/// - add_link(name, target_port) -> port
/// - link(name, "cut|silence|part|join|refuse|accept|delay", ms)
/// - http{port, path, method, headers, body, seconds, background} -> status, body, headers
/// - from_json(text), to_json(value), base64(bytes), sha256_hex(bytes)
/// - set_entrypoints{{host, port}...}, offer{...} -> load
/// - load_stop(load), load_done(load), load_answered(load), load_summary(load)
/// - fact(kind, {...}), violations(slack_ms) -> {"property: detail"...}
void add_bindings(lua_State* state, scenario& target);

}  // namespace fuchsiaquay::scenarios
