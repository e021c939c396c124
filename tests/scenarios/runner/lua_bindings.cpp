#include "tests/scenarios/runner/lua_bindings.hpp"

#include <openssl/evp.h>
#include <openssl/sha.h>

#include <array>
#include <chrono>
#include <exception>
#include <string>
#include <thread>

#include "core/error/operation_error.hpp"
#include "tests/scenarios/checker/history_checker.hpp"
#include "tests/scenarios/runner/http_calls.hpp"
#include "tests/scenarios/runner/lua_arguments.hpp"
#include "tests/scenarios/runner/lua_json.hpp"
#include "tests/scenarios/runner/scenario.hpp"
#include "tests/stand_ins/support/text.hpp"

namespace fuchsiaquay::scenarios {

namespace {

using binding = int (*)(lua_State*, scenario&);

constexpr double milliseconds_per_second = 1000.0;

std::chrono::milliseconds seconds_argument(lua_State* state, int index) {
    return std::chrono::milliseconds(
        static_cast<std::int64_t>(luaL_checknumber(state, index) * milliseconds_per_second));
}

int start(lua_State* state, scenario& target) {
    std::vector<std::string> arguments;
    const auto length = static_cast<lua_Integer>(luaL_len(state, 3));
    for (lua_Integer i = 1; i <= length; ++i) {
        lua_rawgeti(state, 3, i);
        arguments.emplace_back(luaL_checkstring(state, -1));
        lua_pop(state, 1);
    }
    target.start(luaL_checkstring(state, 1), luaL_checkstring(state, 2), arguments);
    return 0;
}

int signal_process(lua_State* state, scenario& target) {
    const char* name = luaL_checkstring(state, 1);
    const auto number = static_cast<int>(luaL_checkinteger(state, 2));
    target.process(name).signal(number);
    return 0;
}

int running(lua_State* state, scenario& target) {
    lua_pushboolean(state, target.process(luaL_checkstring(state, 1)).running() ? 1 : 0);
    return 1;
}

int wait_for_end(lua_State* state, scenario& target) {
    child_process& child = target.process(luaL_checkstring(state, 1));
    if (!child.wait_for_end(seconds_argument(state, 2))) {
        throw operation_error("wait for end", luaL_checkstring(state, 1), "still runs");
    }
    lua_pushinteger(state, child.exit_code());
    return 1;
}

int output(lua_State* state, scenario& target) {
    lua_pushstring(state, target.process(luaL_checkstring(state, 1)).output().c_str());
    return 1;
}

int find_free_port(lua_State* state, scenario& target) {
    lua_pushinteger(state, target.free_port());
    return 1;
}

int write_file(lua_State* state, scenario& target) {
    const std::string path =
        target.write_file(luaL_checkstring(state, 1), luaL_checkstring(state, 2));
    lua_pushstring(state, path.c_str());
    return 1;
}

int sleep_for(lua_State* state, scenario&) {
    std::this_thread::sleep_for(seconds_argument(state, 1));
    return 0;
}

int now_ms(lua_State* state, scenario&) {
    lua_pushinteger(state, stand_ins::wall_clock_ms());
    return 1;
}

int note(lua_State* state, scenario& target) {
    target.events().note(luaL_checkstring(state, 1));
    return 0;
}

int seed(lua_State* state, scenario& target) {
    lua_pushinteger(state, static_cast<lua_Integer>(target.seed()));
    return 1;
}

int add_link(lua_State* state, scenario& target) {
    const auto port = static_cast<std::uint16_t>(luaL_checkinteger(state, 2));
    lua_pushinteger(state, target.add_link(luaL_checkstring(state, 1), port).port());
    return 1;
}

int command_link(lua_State* state, scenario& target) {
    const std::string name = luaL_checkstring(state, 1);
    const std::string command = luaL_checkstring(state, 2);
    stand_ins::cut_proxy& link = target.link(name);
    target.events().note(command + " link " + name);
    if (command == "cut") {
        link.cut();
    } else if (command == "silence") {
        link.silence();
    } else if (command == "part" || command == "join") {
        link.part(command == "part");
    } else if (command == "refuse" || command == "accept") {
        link.refuse(command == "refuse");
    } else if (command == "delay") {
        link.delay(std::chrono::milliseconds(luaL_checkinteger(state, 3)));
    } else {
        throw operation_error("command link", name, "unknown command " + command);
    }
    return 0;
}

int http(lua_State* state, scenario&) {
    http_request_options options;
    options.method = text_argument(state, 1, "method", "GET");
    options.port = static_cast<std::uint16_t>(number_argument(state, 1, "port"));
    options.path = text_argument(state, 1, "path", "/");
    options.body = text_argument(state, 1, "body");
    constexpr std::int64_t default_limit_s = 5;
    options.limit = std::chrono::seconds(number_argument(state, 1, "seconds", default_limit_s));
    lua_getfield(state, 1, "headers");
    if (lua_istable(state, -1)) {
        lua_pushnil(state);
        while (lua_next(state, -2) != 0) {
            options.headers[lua_tostring(state, -2)] = luaL_checkstring(state, -1);
            lua_pop(state, 1);
        }
    }
    if (flag_argument(state, 1, "background", false)) {
        std::thread([options] { call_http(options); }).detach();
        return 0;
    }
    const http_reply reply = call_http(options);
    lua_pushinteger(state, reply.error.empty() ? reply.status : 0);
    lua_pushlstring(state, reply.body.data(), reply.body.size());
    lua_newtable(state);
    for (const auto& [name, value] : reply.headers) {
        lua_pushstring(state, value.c_str());
        lua_setfield(state, -2, name.c_str());
    }
    return 3;
}

int from_json(lua_State* state, scenario&) {
    push_json(state, luaL_checkstring(state, 1));
    return 1;
}

int to_json(lua_State* state, scenario&) {
    lua_pushstring(state, json_text(state, 1).c_str());
    return 1;
}

int base64(lua_State* state, scenario&) {
    std::size_t length = 0;
    const char* bytes = luaL_checklstring(state, 1, &length);
    // Four characters for each group of up to three bytes, and the terminating zero.
    std::vector<unsigned char> text(4 * ((length + 2) / 3) + 1);
    const int written = EVP_EncodeBlock(text.data(), reinterpret_cast<const unsigned char*>(bytes),
                                        static_cast<int>(length));
    lua_pushlstring(state, reinterpret_cast<const char*>(text.data()),
                    static_cast<std::size_t>(written));
    return 1;
}

int sha256_hex(lua_State* state, scenario&) {
    std::size_t length = 0;
    const char* bytes = luaL_checklstring(state, 1, &length);
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<const unsigned char*>(bytes), length, digest.data());
    std::string text;
    constexpr const char* digits = "0123456789abcdef";
    for (const unsigned char byte : digest) {
        text += digits[byte >> 4];
        text += digits[byte & 0xf];
    }
    lua_pushstring(state, text.c_str());
    return 1;
}

int set_entrypoints(lua_State* state, scenario& target) {
    std::vector<entrypoint> nodes;
    const auto length = static_cast<lua_Integer>(luaL_len(state, 1));
    for (lua_Integer i = 1; i <= length; ++i) {
        lua_rawgeti(state, 1, i);
        const int index = lua_gettop(state);
        nodes.push_back({text_argument(state, index, "host"),
                         static_cast<std::uint16_t>(number_argument(state, index, "port"))});
        lua_pop(state, 1);
    }
    target.set_entrypoints(nodes);
    return 0;
}

int offer(lua_State* state, scenario& target) {
    const load_profile defaults;
    load_profile profile;
    profile.kind = text_argument(state, 1, "kind", defaults.kind);
    profile.callers = number_argument(state, 1, "callers", defaults.callers);
    profile.calls = number_argument(state, 1, "calls", defaults.calls);
    profile.pause_ms = number_argument(state, 1, "pause_ms", defaults.pause_ms);
    profile.caller_key = text_argument(state, 1, "caller_key");
    profile.rank = text_argument(state, 1, "rank");
    profile.model = text_argument(state, 1, "model");
    profile.prompt_bytes_min =
        number_argument(state, 1, "prompt_bytes_min", defaults.prompt_bytes_min);
    profile.prompt_bytes_max =
        number_argument(state, 1, "prompt_bytes_max", defaults.prompt_bytes_max);
    profile.max_tokens_min = number_argument(state, 1, "max_tokens_min", defaults.max_tokens_min);
    profile.max_tokens_max = number_argument(state, 1, "max_tokens_max", defaults.max_tokens_max);
    profile.deadline_ms = number_argument(state, 1, "deadline_ms", defaults.deadline_ms);
    profile.extra_wait_ms = number_argument(state, 1, "patience_ms", defaults.extra_wait_ms);
    profile.service = text_argument(state, 1, "service");
    profile.repeatable = flag_argument(state, 1, "repeatable", defaults.repeatable);
    profile.send_duplicates = flag_argument(state, 1, "twins", defaults.send_duplicates);
    profile.repeat_answered = flag_argument(state, 1, "ask_again", defaults.repeat_answered);
    lua_pushinteger(state, static_cast<lua_Integer>(target.offer(profile)));
    return 1;
}

load& load_argument(lua_State* state, scenario& target) {
    return target.load_of(static_cast<std::size_t>(luaL_checkinteger(state, 1)));
}

int load_stop(lua_State* state, scenario& target) {
    load_argument(state, target).stop();
    return 0;
}

int load_done(lua_State* state, scenario& target) {
    lua_pushboolean(state, load_argument(state, target).done() ? 1 : 0);
    return 1;
}

int load_answered(lua_State* state, scenario& target) {
    lua_pushinteger(state, load_argument(state, target).answered());
    return 1;
}

const char* end_name(attempt_end end) {
    switch (end) {
        case attempt_end::answered:
            return "answered";
        case attempt_end::not_run:
            return "not run";
        case attempt_end::failed:
            return "failed";
        case attempt_end::unreachable:
            return "unreachable";
        case attempt_end::cut:
            return "cut";
        case attempt_end::timed_out:
            return "timed out";
    }
    return "";
}

/// Counts of how the calls and the attempts ended, with the error codes.
int load_summary(lua_State* state, scenario& target) {
    std::map<std::string, std::int64_t> counts;
    for (const call_record& call : load_argument(state, target).calls()) {
        ++counts["calls"];
        ++counts[std::string("calls ") + end_name(call.attempts.back().end)];
        for (const attempt& tried : call.attempts) {
            ++counts[std::string("attempts ") + end_name(tried.end)];
            if (!tried.error_code.empty()) {
                ++counts["code " + tried.error_code];
            }
        }
    }
    lua_newtable(state);
    for (const auto& [name, count] : counts) {
        lua_pushinteger(state, count);
        lua_setfield(state, -2, name.c_str());
    }
    return 1;
}

int fact(lua_State* state, scenario& target) {
    const std::string kind = luaL_checkstring(state, 1);
    history& facts = target.facts();
    const std::string name = text_argument(state, 2, "name");
    const std::int64_t at_ms = number_argument(state, 2, "at_ms");
    const std::int64_t to_ms = number_argument(state, 2, "to_ms");
    if (kind == "execution") {
        facts.executions.push_back({name, text_argument(state, 2, "key"), at_ms});
    } else if (kind == "use") {
        facts.uses.push_back({name, at_ms});
    } else if (kind == "leaving") {
        facts.leavings.push_back({name, at_ms, number_argument(state, 2, "bound_ms")});
    } else if (kind == "memory") {
        facts.memory.push_back({name, number_argument(state, 2, "held_tokens")});
    } else if (kind == "revision") {
        facts.revisions.push_back({name, number_argument(state, 2, "incarnation"), at_ms,
                                   text_argument(state, 2, "customer"),
                                   number_argument(state, 2, "revision")});
    } else if (kind == "fault") {
        facts.faults.push_back({name, at_ms, to_ms});
    } else if (kind == "stop") {
        facts.stops.push_back({name, at_ms, to_ms});
    } else {
        throw operation_error("add fact", kind, "unknown kind");
    }
    return 0;
}

int violations(lua_State* state, scenario& target) {
    const history whole = target.complete_history();
    history_checker checker(whole, luaL_checkinteger(state, 1));
    lua_newtable(state);
    lua_Integer index = 0;
    for (const violation& each : checker.check()) {
        lua_pushstring(state, (each.property + ": " + each.detail).c_str());
        lua_rawseti(state, -2, ++index);
    }
    return 1;
}

struct named_binding {
    const char* name;
    binding function;
};

constexpr std::array<named_binding, 26> bindings{{
    {"start", start},
    {"signal", signal_process},
    {"running", running},
    {"wait_for_end", wait_for_end},
    {"output", output},
    {"free_port", find_free_port},
    {"write_file", write_file},
    {"sleep", sleep_for},
    {"now_ms", now_ms},
    {"note", note},
    {"seed", seed},
    {"add_link", add_link},
    {"link", command_link},
    {"http", http},
    {"from_json", from_json},
    {"to_json", to_json},
    {"base64", base64},
    {"sha256_hex", sha256_hex},
    {"set_entrypoints", set_entrypoints},
    {"offer", offer},
    {"load_stop", load_stop},
    {"load_done", load_done},
    {"load_answered", load_answered},
    {"load_summary", load_summary},
    {"fact", fact},
    {"violations", violations},
}};

/// Calls a binding and turns its exception into a Lua error.
int dispatch(lua_State* state) {
    const auto* entry =
        static_cast<const named_binding*>(lua_touserdata(state, lua_upvalueindex(1)));
    auto* target = static_cast<scenario*>(lua_touserdata(state, lua_upvalueindex(2)));
    try {
        return entry->function(state, *target);
    } catch (const std::exception& error) {
        lua_pushstring(state, error.what());
    }
    return lua_error(state);
}

}  // namespace

void add_bindings(lua_State* state, scenario& target) {
    for (const named_binding& entry : bindings) {
        lua_pushlightuserdata(state, const_cast<named_binding*>(&entry));
        lua_pushlightuserdata(state, &target);
        lua_pushcclosure(state, dispatch, 2);
        lua_setglobal(state, entry.name);
    }
}

}  // namespace fuchsiaquay::scenarios
