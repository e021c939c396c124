#include <CppUTest/TestHarness.h>
// Needs the header above.
#include <CppUTest/MemoryLeakWarningPlugin.h>
#include <unistd.h>

#include <atomic>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>

#include "ctl/console/command_registry.hpp"
#include "ctl/console/ctl_options.hpp"
#include "ctl/console/http_admin_channel.hpp"
#include "tests/drivers/traffic/raw_server.hpp"

using namespace fuchsiaquay;
using namespace fuchsiaquay::testing;

namespace {
const bool leak_detection_off = [] {
    MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
    return true;
}();
/// A part of an answer that announces its length.
constexpr const char* part =
    "HTTP/1.1 200 OK\r\nETag: \"7\"\r\nContent-Length: 100\r\n\r\n{\"customer\":\"a\"";
/// What is left of an answer whose end would be that of the connection.
constexpr const char* unframed_part = "HTTP/1.1 200 OK\r\nETag: \"7\"\r\n\r\n";

}  // namespace

/// Administration calls whose answers end early.
TEST_GROUP(admin_channel_end) {
    control_loop loop_;
    raw_server server_{loop_};
    http_admin_channel channel_{{server_.address().text()}, "t", 5};
    command_registry registry_;
    ctl_options options_;
    std::string path_;

    void setup() override {
        CHECK_TRUE(leak_detection_off);
        add_contract_commands(registry_);
        add_fleet_commands(registry_);
        char name[] = "/tmp/fuchsiaquay_ctl_XXXXXX";
        close(mkstemp(name));
        path_ = name;
        std::ofstream(path_) << R"({"customer":"a","weight":2,)"
                             << R"("ranks":[{"name":"r","level":0,"first_token_target_ms":1,)"
                             << R"("deadline_ms":2}]})";
    }
    void teardown() override {
        std::filesystem::remove(path_);
    }

    /// Runs a command; answers its calls with `answers`, ending the connection after each.
    int run(std::vector<std::string> words, const std::vector<std::string>& answers) {
        options_.words = std::move(words);
        std::ostringstream out;
        std::atomic<bool> done{false};
        int code = -1;
        std::thread thread([&] {
            try {
                code = static_cast<int>(registry_.run(options_, channel_, out, out));
            } catch (const std::exception& error) {
                out << "exception: " << error.what();
                code = 2;
            }
            done = true;
        });
        for (const std::string& answer : answers) {
            server_.received.clear();
            const bool got = run_until(loop_, [&] {
                return done || server_.received.find("\r\n\r\n") != std::string::npos;
            });
            if (!got || done) {
                break;
            }
            server_.send(answer);
            server_.close(false);
        }
        run_until(loop_, [&] { return done.load(); });
        thread.join();
        return code;
    }
    admin_channel::response call(const std::string& method, const std::string& answer) {
        std::atomic<bool> done{false};
        admin_channel::response result;
        std::thread thread([&] {
            admin_channel::call call;
            call.method = method;
            call.path = "/x";
            result = channel_.send(call);
            done = true;
        });
        server_.received.clear();
        run_until(loop_, [&] { return server_.received.find("\r\n\r\n") != std::string::npos; });
        server_.send(answer);
        server_.close(false);
        run_until(loop_, [&] { return done.load(); });
        thread.join();
        return result;
    }
};

TEST(admin_channel_end, whole_answer_is_passed_on) {
    const admin_channel::response result =
        call("GET", "HTTP/1.1 200 OK\r\nETag: \"7\"\r\nContent-Length: 2\r\n\r\n{}");
    LONGS_EQUAL(200, result.status);
    CHECK_EQUAL(std::string("{}"), result.body);
    CHECK_EQUAL(std::string("\"7\""), result.etag);
}

// Guards against a part of an answer that counts as an answer with an empty body.
TEST(admin_channel_end, answer_that_ends_early_is_no_answer) {
    for (const char* const answer : {part, unframed_part}) {
        for (const char* const method : {"GET", "POST"}) {
            const admin_channel::response result = call(method, answer);
            LONGS_EQUAL(0, result.status);
            CHECK_EQUAL(std::string(), result.etag);
            CHECK_FALSE(result.failure.empty());
            CHECK_EQUAL(std::string(method) == "POST", result.in_doubt);
        }
    }
}

TEST(admin_channel_end, key_whose_answer_ends_early_is_in_doubt) {
    LONGS_EQUAL(exit_code::unknown, run({"key", "issue", "a"}, {part}));
    LONGS_EQUAL(exit_code::unknown, run({"key", "issue", "a"}, {unframed_part}));
}

// Guards against a contract that looks entirely new.
TEST(admin_channel_end, diff_against_an_answer_that_ends_early_fails) {
    LONGS_EQUAL(exit_code::unreachable, run({"contract", "diff", path_}, {part}));
    LONGS_EQUAL(exit_code::unreachable, run({"contract", "diff", path_}, {unframed_part}));
}

// Guards against a contract that is applied without the keys that it has.
TEST(admin_channel_end, contract_whose_answer_ends_early_is_not_changed) {
    options_.values["revision"] = "7";
    for (const char* const answer : {part, unframed_part}) {
        server_.received.clear();
        LONGS_EQUAL(exit_code::unreachable, run({"contract", "apply", path_}, {answer}));
        CHECK_TRUE(server_.received.find("PUT") == std::string::npos);
    }
}
