#include <CppUTest/TestHarness.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "ctl/console/admin_channel.hpp"
#include "ctl/console/command_registry.hpp"
#include "ctl/console/text_diff.hpp"
#include "tests/drivers/admin/admin_api_fixture.hpp"

using namespace fuchsiaquay;
using namespace fuchsiaquay::testing;

namespace {

/// Channel that calls the administration API of a test fixture in this process.
class fixture_channel final : public admin_channel {
public:
    response send(const call& call) override {
        ++calls;
        if (silent) {
            return {0, "", "", call.method != "GET", "silent"};
        }
        admin_request request;
        request.method = call.method;
        const std::size_t query = call.path.find('?');
        request.path = "/admin/v1" + call.path.substr(0, query);
        request.query["dry_run"] = query == std::string::npos ? "false" : "true";
        request.token = "ann-token";
        request.body = call.body;
        for (const auto& [name, value] : call.headers) {
            (name == "If-Match" ? request.if_match : request.if_none_match) = value;
        }
        const admin_reply reply = fixture.call(request);
        std::string etag;
        for (const auto& [name, value] : reply.headers) {
            etag = name == "ETag" ? value : etag;
        }
        if (lose_next_change && call.method == "PUT") {
            lose_next_change = false;
            return send(call);
        }
        return {reply.status, reply.body, etag, false, ""};
    }

    admin_api_fixture fixture;
    bool silent = false;
    /// Sends the next change twice, as a client does with another node after a lost response.
    bool lose_next_change = false;
    int calls = 0;
};

}  // namespace

TEST_GROUP(console) {
    fixture_channel channel_;
    command_registry registry_;
    ctl_options options_;
    std::string out_;
    std::string path_;

    void setup() override {
        add_contract_commands(registry_);
        add_fleet_commands(registry_);
        char name[] = "/tmp/fuchsiaquayctl_test_XXXXXX";
        const int file = mkstemp(name);
        CHECK_TRUE(file >= 0);
        close(file);
        path_ = name;
        write_contract("1");
    }
    void teardown() override {
        std::filesystem::remove(path_);
    }

    void write_contract(const std::string& weight) {
        std::ofstream(path_) << R"({"customer":"a","weight":)" << weight
                             << R"(,"ranks":[{"name":"r","level":0,"first_token_target_ms":1,)"
                             << R"("deadline_ms":2}]})";
    }
    int run(std::vector<std::string> words) {
        options_.words = std::move(words);
        std::ostringstream out;
        const exit_code code = registry_.run(options_, channel_, out, out);
        out_ = out.str();
        return static_cast<int>(code);
    }
};

TEST(console, apply_twice_writes_once) {
    LONGS_EQUAL(0, run({"contract", "apply", path_}));
    const int writes = channel_.fixture.store.writes;
    LONGS_EQUAL(0, run({"contract", "apply", path_}));
    STRCMP_EQUAL("a unchanged\n", out_.c_str());
    LONGS_EQUAL(writes, channel_.fixture.store.writes);
}

TEST(console, dry_run_shows_the_diff_and_writes_nothing) {
    run({"contract", "apply", path_});
    const int writes = channel_.fixture.store.writes;
    write_contract("2");
    options_.dry_run = true;
    LONGS_EQUAL(0, run({"contract", "apply", path_}));
    STRCMP_CONTAINS("-   \"weight\": 1,\n+   \"weight\": 2,", out_.c_str());
    LONGS_EQUAL(writes, channel_.fixture.store.writes);
}

TEST(console, conflict_is_shown_as_a_diff) {
    run({"contract", "apply", path_});
    write_contract("2");
    options_.values["revision"] = "1";
    LONGS_EQUAL(3, run({"contract", "apply", path_}));
    STRCMP_CONTAINS("-   \"weight\": 1,\n+   \"weight\": 2,", out_.c_str());
}

TEST(console, change_sent_twice_after_a_lost_answer_is_no_conflict) {
    run({"contract", "apply", path_});
    write_contract("2");
    channel_.lose_next_change = true;
    LONGS_EQUAL(0, run({"contract", "apply", path_}));
}

TEST(console, file_without_keys_keeps_issued_keys) {
    run({"contract", "apply", path_});
    LONGS_EQUAL(0, run({"key", "issue", "a"}));
    write_contract("2");
    LONGS_EQUAL(0, run({"contract", "apply", path_}));
    LONGS_EQUAL(1, channel_.fixture.registry.table()->find(customer_id("a"))->key_digests.size());
}

TEST(console, diff_has_its_own_exit_code) {
    LONGS_EQUAL(6, run({"contract", "diff", path_}));
    run({"contract", "apply", path_});
    LONGS_EQUAL(0, run({"contract", "diff", path_}));
}

TEST(console, delete_of_a_missing_contract_is_done) {
    run({"contract", "apply", path_});
    LONGS_EQUAL(0, run({"contract", "delete", "a"}));
    LONGS_EQUAL(0, run({"contract", "delete", "a"}));
}

TEST(console, no_answer_is_told_from_a_change_in_doubt) {
    channel_.silent = true;
    LONGS_EQUAL(4, run({"contract", "list"}));
    LONGS_EQUAL(5, run({"key", "issue", "a"}));
}

TEST(console, unknown_command_and_missing_argument_are_usage_errors) {
    LONGS_EQUAL(2, run({"contract", "fly"}));
    LONGS_EQUAL(2, run({"contract", "get"}));
    LONGS_EQUAL(0, channel_.calls);
}

TEST(console, status_names_every_node_and_whether_revisions_agree) {
    run({"contract", "apply", path_});
    LONGS_EQUAL(0, run({"status"}));
    STRCMP_CONTAINS("h1", out_.c_str());
    STRCMP_CONTAINS("contracts: revision 3 on every node", out_.c_str());
}

TEST(console, listings_and_explain_print_tables) {
    LONGS_EQUAL(0, run({"upstream", "list"}));
    STRCMP_CONTAINS("e1", out_.c_str());
    LONGS_EQUAL(0, run({"node", "list"}));
    LONGS_EQUAL(0, run({"node", "drain", "h1"}));
    options_.values = {{"customer", "a"}, {"model", "m"}};
    LONGS_EQUAL(0, run({"explain"}));
    STRCMP_CONTAINS("short", out_.c_str());
}

TEST(console, completion_knows_every_command) {
    std::ifstream file(std::filesystem::path(FUCHSIAQUAY_SOURCE_DIR) / "ctl/completion.bash");
    std::ostringstream text;
    text << file.rdbuf();
    for (const ctl_command& command : registry_.all()) {
        std::istringstream words(command.name);
        for (std::string word; words >> word;) {
            STRCMP_CONTAINS(word.c_str(), text.str().c_str());
        }
    }
}

TEST(console, diff_of_equal_texts_is_empty) {
    STRCMP_EQUAL("", text_diff("a\nb\n", "a\nb\n").c_str());
    STRCMP_EQUAL("  a\n- b\n+ c\n", text_diff("a\nb\n", "a\nc\n").c_str());
}
