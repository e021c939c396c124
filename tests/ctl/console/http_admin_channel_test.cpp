#include "ctl/console/http_admin_channel.hpp"

#include <CppUTest/TestHarness.h>
#include <unistd.h>

#include <atomic>
#include <filesystem>
#include <fstream>
#include <functional>
#include <sstream>
#include <thread>

#include "ctl/console/command_registry.hpp"
#include "ctl/console/ctl_options.hpp"
#include "tests/drivers/traffic/raw_server.hpp"
#include "tests/leak_detection_off.hpp"

using namespace fuchsiaquay;
using namespace fuchsiaquay::testing;

namespace {
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

    /// Runs `work`, which sends one call, on a thread of its own; answers the call with `answer`
    /// and ends the connection.
    void answer_while(const std::string& answer, const std::function<void()>& work) {
        std::atomic<bool> done{false};
        server_.received.clear();
        std::thread thread([&] {
            work();
            done = true;
        });
        const auto called = [&] {
            return done || server_.received.find("\r\n\r\n") != std::string::npos;
        };
        if (run_until(loop_, called) && !done) {
            server_.send(answer);
            server_.close(false);
        }
        run_until(loop_, [&] { return done.load(); });
        thread.join();
    }
    /// Returns the exit code of a command whose call is answered with `answer`.
    int run(std::vector<std::string> words, const std::string& answer) {
        options_.words = std::move(words);
        std::ostringstream out;
        int code = static_cast<int>(exit_code::usage);
        answer_while(answer, [&] {
            try {
                code = static_cast<int>(registry_.run(options_, channel_, out, out));
            } catch (const std::exception& error) {
                out << "exception: " << error.what();
            }
        });
        return code;
    }
    admin_channel::response call(const std::string& method, const std::string& answer) {
        admin_channel::call call;
        call.method = method;
        call.path = "/x";
        admin_channel::response result;
        answer_while(answer, [&] { result = channel_.send(call); });
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
    LONGS_EQUAL(exit_code::unknown, run({"key", "issue", "a"}, part));
    LONGS_EQUAL(exit_code::unknown, run({"key", "issue", "a"}, unframed_part));
}

// Guards against a contract that looks entirely new.
TEST(admin_channel_end, diff_against_an_answer_that_ends_early_fails) {
    LONGS_EQUAL(exit_code::unreachable, run({"contract", "diff", path_}, part));
    LONGS_EQUAL(exit_code::unreachable, run({"contract", "diff", path_}, unframed_part));
}

// Guards against a contract that is applied without the keys that it has.
TEST(admin_channel_end, contract_whose_answer_ends_early_is_not_changed) {
    options_.values["revision"] = "7";
    for (const char* const answer : {part, unframed_part}) {
        server_.received.clear();
        LONGS_EQUAL(exit_code::unreachable, run({"contract", "apply", path_}, answer));
        CHECK_TRUE(server_.received.find("PUT") == std::string::npos);
    }
}
