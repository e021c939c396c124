#include "servers/contracts/contract_editor.hpp"

#include <CppUTest/TestHarness.h>

#include "drivers/json/json_contract_format.hpp"
#include "servers/contracts/contract_keys.hpp"
#include "tests/servers/store/fake_store.hpp"
#include "tests/servers/virtual_timer_service.hpp"

using namespace fuchsiaquay;
using namespace fuchsiaquay::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

std::string text(const std::string& weight) {
    return R"({"customer":"a","weight":)" + weight +
           R"(,"ranks":[{"name":"r","level":0,"first_token_target_ms":1,"deadline_ms":2}]})";
}

}  // namespace

TEST_GROUP(contract_editor) {
    virtual_timer_service timers_;
    fake_store store_{timers_};
    json_contract_format format_;
    contract_editor editor_{store_, timers_, format_, "host/1"};
    contract_editor other_{store_, timers_, format_, "host/2"};

    static edit_request request(const std::string& document, std::int64_t expected) {
        return edit_request{customer_id("a"),       document, expected, "ann",
                            "2026-01-01T00:00:00Z", false};
    }
    edit_result edit(const edit_request& wanted) {
        edit_result result;
        int answers = 0;
        editor_.edit(wanted, [&](const edit_result& got) {
            result = got;
            ++answers;
        });
        timers_.advance(seconds(20));
        LONGS_EQUAL(1, answers);
        return result;
    }
    edit_outcome outcome(const edit_request& wanted) {
        return edit(wanted).outcome;
    }
    std::string stored() {
        return store_.at(contract_key(customer_id("a"))).value;
    }
};

TEST(contract_editor, accepted_change_moves_contract_and_index_together) {
    const edit_result result = edit(request(text("1"), 0));
    CHECK_TRUE(result.outcome == edit_outcome::accepted);
    LONGS_EQUAL(result.revision, store_.at(contract_key(customer_id("a"))).revision);
    LONGS_EQUAL(result.revision, store_.at(contracts_index_key).revision);
}

TEST(contract_editor, wrong_revision_is_a_conflict_that_returns_the_present_contract) {
    edit(request(text("1"), 0));
    const edit_result result = edit(request(text("2"), 0));
    CHECK_TRUE(result.outcome == edit_outcome::conflict);
    LONGS_EQUAL(2, result.revision);
    STRCMP_CONTAINS("\"weight\":1", result.document.c_str());
}

TEST(contract_editor, racing_operators_only_one_wins) {
    edit(request(text("1"), 0));
    int accepted = 0;
    int conflicts = 0;
    const auto count = [&](const edit_result& got) {
        accepted += got.outcome == edit_outcome::accepted ? 1 : 0;
        conflicts += got.outcome == edit_outcome::conflict ? 1 : 0;
    };
    editor_.edit(request(text("2"), 2), count);
    other_.edit(request(text("3"), 2), count);
    timers_.advance(seconds(20));
    LONGS_EQUAL(1, accepted);
    LONGS_EQUAL(1, conflicts);
    STRCMP_CONTAINS("\"weight\":2", stored().c_str());
}

TEST(contract_editor, lost_answer_is_resolved_as_accepted_and_written_once) {
    store_.lost_answers = 1;
    const edit_result result = edit(request(text("1"), 0));
    CHECK_TRUE(result.outcome == edit_outcome::accepted);
    LONGS_EQUAL(2, result.revision);
    LONGS_EQUAL(2, store_.revision());
}

TEST(contract_editor, late_write_and_its_copy_take_effect_once) {
    store_.late_writes = 1;
    store_.lateness = milliseconds(1301);
    CHECK_TRUE(outcome(request(text("1"), 0)) == edit_outcome::accepted);
    LONGS_EQUAL(2, store_.revision());
}

TEST(contract_editor, late_write_does_not_bring_a_deleted_contract_back) {
    store_.late_writes = 1;
    store_.lateness = seconds(5);
    editor_.edit(request(text("1"), 0), [](const edit_result&) {});
    timers_.advance(seconds(3));
    CHECK_FALSE(stored().empty());
    other_.edit(request("", 2), [](const edit_result&) {});
    timers_.advance(seconds(20));
    CHECK_TRUE(stored().empty());
    LONGS_EQUAL(3, store_.revision());
}

TEST(contract_editor, lost_answer_overtaken_by_another_operator_is_still_accepted) {
    store_.lost_answers = 1;
    edit_result result;
    editor_.edit(request(text("1"), 0), [&](const edit_result& got) { result = got; });
    timers_.advance(milliseconds(500));
    other_.edit(request(text("2"), 2), [](const edit_result&) {});
    timers_.advance(seconds(20));
    CHECK_TRUE(result.outcome == edit_outcome::accepted);
    LONGS_EQUAL(2, result.revision);
    STRCMP_CONTAINS("\"weight\":2", stored().c_str());
}

TEST(contract_editor, lost_answer_read_back_from_an_old_copy_is_not_a_conflict) {
    store_.lost_answers = 1;
    edit_result result;
    editor_.edit(request(text("1"), 0), [&](const edit_result& got) { result = got; });
    timers_.advance(milliseconds(500));
    store_.stale_at = 1;
    timers_.advance(seconds(3));
    store_.stale_at = 0;
    timers_.advance(seconds(20));
    CHECK_TRUE(result.outcome == edit_outcome::accepted);
}

TEST(contract_editor, store_outage_is_unavailable_and_unresolved_write_is_unknown) {
    store_.unavailable = true;
    CHECK_TRUE(outcome(request(text("1"), 0)) == edit_outcome::unavailable);
    store_.unavailable = false;
    store_.lost_answers = 1;
    edit_result result;
    editor_.edit(request(text("1"), 0), [&](const edit_result& got) { result = got; });
    timers_.advance(milliseconds(7));
    store_.unavailable = true;
    timers_.advance(seconds(30));
    CHECK_TRUE(result.outcome == edit_outcome::unknown);
}

TEST(contract_editor, same_text_again_writes_nothing) {
    edit(request(text("1"), 0));
    CHECK_TRUE(outcome(request(text("1"), 2)) == edit_outcome::unchanged);
    LONGS_EQUAL(2, store_.revision());
}

TEST(contract_editor, dry_run_checks_and_writes_nothing) {
    edit_request wanted = request(text("1"), 0);
    wanted.dry_run = true;
    CHECK_TRUE(outcome(wanted) == edit_outcome::accepted);
    wanted.document = text("0");
    CHECK_TRUE(outcome(wanted) == edit_outcome::invalid);
    LONGS_EQUAL(1, store_.revision());
}

TEST(contract_editor, history_lists_replaced_and_deleted_revisions) {
    edit(request(text("1"), 0));
    edit(request(text("2"), 2));
    edit(request("", 3));
    edit(request(text("4"), 0));
    contract_editor::history_result got;
    editor_.history(customer_id("a"),
                    [&](const contract_editor::history_result& result) { got = result; });
    timers_.advance(seconds(1));
    LONGS_EQUAL(5, got.revision);
    LONGS_EQUAL(3, got.history.past.size());
    LONGS_EQUAL(4, got.history.past[0].revision);
    CHECK_TRUE(got.history.past[0].edit.erased);
    LONGS_EQUAL(3, got.history.past[1].revision);
    STRCMP_CONTAINS("\"weight\":1", got.history.past[2].document.c_str());
}

TEST(contract_editor, history_stays_bounded) {
    for (int i = 1; i <= 30; ++i) {
        edit(request(text(std::to_string(i)), i == 1 ? 0 : i));
    }
    const std::string kept = store_.at(contract_history_key(customer_id("a"))).value;
    LONGS_EQUAL(contract_editor::max_past, format_.parse_history(kept).past.size());
}
