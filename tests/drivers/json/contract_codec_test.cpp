#include "drivers/json/contract_codec.hpp"

// Standard headers come before CppUTest, whose memory macros break them.
#include <CppUTest/TestHarness.h>

#include <filesystem>
#include <fstream>
#include <sstream>

using fuchsiaquay::contract;
using fuchsiaquay::contract_error;
using fuchsiaquay::parse_contract;
using fuchsiaquay::print_contract;

namespace {

const std::string rank_text =
    R"({"name":"urgent","level":0,"floor_share":0.2,"first_token_target_ms":330,"deadline_ms":30000})";

std::string with(const std::string& members) {
    return R"({"customer":"greenline",)" + members + "}";
}

std::string with_ranks(const std::string& ranks, const std::string& more = "") {
    return with("\"ranks\":[" + ranks + "]" + more);
}

/// Returns the field that the codec rejects, or "none" if it accepts the text.
std::string bad_field(const std::string& json) {
    try {
        parse_contract(json, 1);
    } catch (const contract_error& error) {
        return error.field();
    }
    return "none";
}

void check_bad(const char* field, const std::string& json) {
    STRCMP_EQUAL(field, bad_field(json).c_str());
}

std::string read_file(const std::filesystem::path& path) {
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

}  // namespace

TEST_GROUP(contract_codec){};

TEST(contract_codec, printed_contract_reads_back_the_same) {
    const std::string digest(64, 'a');
    const contract first = parse_contract(
        with_ranks(rank_text,
                   R"(,"weight":0.3,"keys":[")" + digest +
                       R"("],"limits":{"requests_per_second":2.5},"models":["m"],)"
                       R"("services":[{"service":"s","repeatable":false,"deadline_ms":5}])"),
        7);
    CHECK_TRUE(first == parse_contract(print_contract(first), 7));
    LONGS_EQUAL(7, first.revision);
    STRCMP_CONTAINS("\"weight\":0.3,", print_contract(first).c_str());
}

TEST(contract_codec, broken_rule_names_the_field) {
    check_bad("", "{");
    check_bad("", "[]");
    check_bad("customer", R"({"ranks":[]})");
    check_bad("ranks", with("\"weight\":1"));
    check_bad("colour", with_ranks(rank_text, R"(,"colour":1)"));
    check_bad("weight", with_ranks(rank_text, R"(,"weight":0)"));
    check_bad("weight", with_ranks(rank_text, R"(,"weight":"heavy")"));
    check_bad("keys[0]", with_ranks(rank_text, R"(,"keys":["abc"])"));
    check_bad("limits.concurrent_requests",
              with_ranks(rank_text, R"(,"limits":{"concurrent_requests":1.5})"));
    check_bad("limits.speed", with_ranks(rank_text, R"(,"limits":{"speed":1})"));
    check_bad("models[1]", with_ranks(rank_text, R"(,"models":["m","m"])"));
    check_bad("services[0].deadline_ms", with_ranks(rank_text, R"(,"services":[{"service":"s"}])"));
}

TEST(contract_codec, ranks_that_clash_are_refused) {
    check_bad("ranks[1].name", with_ranks(rank_text + "," + rank_text));
    const std::string same_level =
        R"({"name":"b","level":0,"first_token_target_ms":1,"deadline_ms":1})";
    check_bad("ranks[1].level", with_ranks(rank_text + "," + same_level));
    const std::string greedy =
        R"({"name":"b","level":1,"floor_share":0.9,"first_token_target_ms":1,"deadline_ms":1})";
    check_bad("ranks", with_ranks(rank_text + "," + greedy));
    check_bad("ranks[0].first_token_target_ms",
              with_ranks(R"({"name":"b","level":1,"first_token_target_ms":2,"deadline_ms":1})"));
}

TEST(contract_codec, message_says_what_is_allowed) {
    try {
        parse_contract(with_ranks(rank_text, R"(,"weight":0)"), 1);
        FAIL("accepted");
    } catch (const contract_error& error) {
        STRCMP_EQUAL("parse contract (greenline): weight: has to be from 0.001 to 1000",
                     error.what());
    }
}

TEST(contract_codec, examples_are_valid_ten_customers_of_three_ranks_each) {
    for (const char* user : {"sporebox", "regie"}) {
        int customers = 0;
        for (const auto& file : std::filesystem::directory_iterator(
                 std::filesystem::path(FUCHSIAQUAY_SOURCE_DIR) / "examples/contracts" / user)) {
            const contract read = parse_contract(read_file(file.path()), 1);
            STRCMP_EQUAL(file.path().stem().c_str(), read.customer.value().c_str());
            LONGS_EQUAL(3, read.ranks.size());
            ++customers;
        }
        LONGS_EQUAL(10, customers);
    }
}
