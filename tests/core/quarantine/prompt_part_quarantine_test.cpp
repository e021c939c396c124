#include "core/quarantine/prompt_part_quarantine.hpp"

#include <CppUTest/TestHarness.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

using namespace fuchsiaquay;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

using parts = std::vector<std::string>;

/// One or two hosts that exchange their reports after each end of an engine.
struct quarantine_fixture {
    /// An engine ends under a request with `ids`, and a new connection to it is refused.
    void end_engine(prompt_part_quarantine& host, const parts& ids) {
        now += milliseconds(300);
        const std::string engine = "e" + std::to_string(++count);
        host.on_connection_ended(
            {{engine, 0}, static_cast<std::uint64_t>(count), ids, now, false, {}});
        here.on_engine_gone({engine, 0}, now);
        there.on_engine_gone({engine, 0}, now);
        exchange();
    }
    /// The process of `engine` ends under a request with `ids`; the next one has the same id.
    void restart_engine(prompt_part_quarantine& host, const std::string& engine, const parts& ids) {
        const std::int64_t started_at_ms = ++starts[engine];
        host.on_connection_ended(
            {{engine, started_at_ms}, static_cast<std::uint64_t>(++count), ids, now, false, {}});
        exchange();
        now += milliseconds(300);
        list({engine, started_at_ms + 1});
    }
    /// Both hosts read the entry of a process that replaced another one.
    void list(const upstream_lifetime& engine) {
        here.on_engine_restarted(engine, now);
        there.on_engine_restarted(engine, now);
    }
    void exchange() {
        for (int round = 0; round < 2; ++round) {
            there.merge(here.report(now), now);
            here.merge(there.report(now), now);
        }
    }
    parts review() {
        now += milliseconds(200);
        parts found = here.review(now);
        there.review(now);
        return found;
    }

    instant now{seconds(100)};
    int count = 0;
    /// Start of the process of each engine.
    std::map<std::string, std::int64_t> starts;
    prompt_part_quarantine here;
    prompt_part_quarantine there;
};

}  // namespace

TEST_GROUP_BASE(prompt_part_quarantine, Utest) {
    quarantine_fixture fleet;

    void end_engines(int number, const parts& ids) {
        for (int i = 0; i < number; ++i) {
            fleet.end_engine(i % 2 == 0 ? fleet.here : fleet.there, ids);
        }
    }
};

// Guards against requests with one part that end engine after engine: each host saw only its own.
TEST(prompt_part_quarantine, four_ends_seen_by_two_hosts_quarantine_the_part_on_both) {
    end_engines(4, {"bad"});
    fleet.review();
    CHECK_TRUE(fleet.here.blocks({"common", "bad"}, fleet.now));
    CHECK_TRUE(fleet.there.blocks({"bad", "other"}, fleet.now));
    CHECK_FALSE(fleet.here.blocks({"common"}, fleet.now));
}

// Guards against hosts that wait for the entries of engines to lapse although another host already
// knows that the engines are gone. Among many engines a host rarely meets one of them.
TEST(prompt_part_quarantine, engines_that_only_the_other_host_found_gone_count) {
    for (int i = 0; i < 4; ++i) {
        fleet.now += milliseconds(300);
        const std::string engine = "e" + std::to_string(i);
        fleet.here.on_connection_ended(
            {{engine, 0}, static_cast<std::uint64_t>(i), {"bad"}, fleet.now, false, {}});
        fleet.exchange();
        if (i % 2 == 0) {
            fleet.here.on_engine_gone({engine, 0}, fleet.now);
        } else {
            fleet.there.on_engine_gone({engine, 0}, fleet.now);
        }
        fleet.exchange();
    }
    LONGS_EQUAL(1, fleet.review().size());
}

TEST(prompt_part_quarantine, three_ends_do_not_quarantine) {
    end_engines(3, {"bad"});
    CHECK_TRUE(fleet.review().empty());
}

// Guards against the refusal of sound requests that share their first part with those that end
// engines.
TEST(prompt_part_quarantine, part_that_the_other_host_saw_answered_is_not_quarantined) {
    fleet.there.on_answered({"common"}, fleet.now);
    end_engines(6, {"common", "bad"});
    fleet.review();
    CHECK_TRUE(fleet.here.blocks({"bad"}, fleet.now));
    CHECK_FALSE(fleet.here.blocks({"common"}, fleet.now));
    CHECK_FALSE(fleet.there.blocks({"common"}, fleet.now));
}

// Guards against blame for a rare sound part that was at some of the engines.
TEST(prompt_part_quarantine, ends_that_a_quarantined_part_explains_do_not_count_again) {
    end_engines(5, {"bad", "rare"});
    end_engines(1, {"bad"});
    fleet.review();
    CHECK_TRUE(fleet.here.blocks({"bad"}, fleet.now));
    CHECK_FALSE(fleet.here.blocks({"rare"}, fleet.now));
}

TEST(prompt_part_quarantine, two_parts_in_turn_are_both_quarantined) {
    for (int i = 0; i < 4; ++i) {
        end_engines(1, {"bad"});
        end_engines(1, {"worse"});
    }
    LONGS_EQUAL(2, fleet.review().size());
}

// Guards against blame when engines end by themselves.
TEST(prompt_part_quarantine, engines_of_one_moment_count_as_one_end) {
    for (int i = 0; i < 8; ++i) {
        const std::string engine = "r" + std::to_string(i);
        fleet.here.on_connection_ended(
            {{engine, 0}, static_cast<std::uint64_t>(i), {"part"}, fleet.now, false, {}});
        fleet.here.on_engine_gone({engine, 0}, fleet.now);
    }
    CHECK_TRUE(fleet.review().empty());
}

TEST(prompt_part_quarantine, repeats_of_one_request_do_not_quarantine) {
    for (int i = 0; i < 6; ++i) {
        fleet.now += milliseconds(300);
        const std::string engine = "r" + std::to_string(i);
        fleet.here.on_connection_ended({{engine, 0}, 7, {"part"}, fleet.now, false, {}});
        fleet.here.on_engine_gone({engine, 0}, fleet.now);
    }
    CHECK_TRUE(fleet.review().empty());
}

TEST(prompt_part_quarantine, broken_connections_of_living_engines_do_not_quarantine) {
    for (int i = 0; i < 6; ++i) {
        fleet.now += milliseconds(300);
        fleet.here.on_connection_ended({{"e" + std::to_string(i), 0},
                                        static_cast<std::uint64_t>(i),
                                        {"part"},
                                        fleet.now,
                                        false,
                                        {}});
    }
    CHECK_TRUE(fleet.review().empty());
}

TEST(prompt_part_quarantine, answer_that_ends_with_its_connection_counts_once_its_engine_lives_on) {
    fleet.here.on_connection_ended({{"e1", 0}, 1, {"sound"}, fleet.now, true, {}});
    fleet.now += seconds(7);
    fleet.review();
    end_engines(5, {"sound"});
    CHECK_TRUE(fleet.review().empty());
}

// Guards against a host that starts later, or was cut off, and learns the parts one engine at a
// time.
TEST(prompt_part_quarantine, host_that_starts_later_takes_over_the_quarantine) {
    end_engines(4, {"bad"});
    fleet.review();
    prompt_part_quarantine later;
    later.merge(fleet.here.report(fleet.now), fleet.now);
    CHECK_TRUE(later.blocks({"bad"}, fleet.now));
}

TEST(prompt_part_quarantine, answer_ends_the_quarantine_on_all_hosts) {
    end_engines(4, {"bad"});
    fleet.review();
    fleet.exchange();
    fleet.there.on_answered({"bad"}, fleet.now);
    fleet.exchange();
    CHECK_FALSE(fleet.here.blocks({"bad"}, fleet.now));
    CHECK_FALSE(fleet.there.blocks({"bad"}, fleet.now));
}

TEST(prompt_part_quarantine, quarantine_ends_after_its_time) {
    end_engines(4, {"bad"});
    fleet.review();
    CHECK_TRUE(fleet.here.blocked_for({"bad"}, fleet.now) <= minutes(10));
    fleet.now += minutes(11);
    fleet.review();
    CHECK_FALSE(fleet.here.blocks({"bad"}, fleet.now));
}

// Guards against a part that is never quarantined because the engines come back under their ids.
TEST(prompt_part_quarantine, two_engines_that_restart_under_their_ids_quarantine_the_part) {
    for (int i = 0; i < 2; ++i) {
        fleet.restart_engine(fleet.here, "e1", {"bad"});
        fleet.restart_engine(fleet.there, "e2", {"bad"});
    }
    LONGS_EQUAL(1, fleet.review().size());
}

// Guards against parts that are not told apart because a later process of the same engine counts
// as explained.
TEST(prompt_part_quarantine, second_part_at_later_processes_of_the_same_engines_is_quarantined) {
    for (const std::string part : {"bad", "worse"}) {
        for (int i = 0; i < 4; ++i) {
            fleet.restart_engine(fleet.here, "e1", {part});
        }
        LONGS_EQUAL(1, fleet.review().size());
    }
}

// Guards against proof that only the host has that did not see the connections end.
TEST(prompt_part_quarantine, restarts_that_only_the_other_host_read_count) {
    for (int i = 0; i < 4; ++i) {
        fleet.here.on_connection_ended(
            {{"e1", i + 1}, static_cast<std::uint64_t>(i), {"bad"}, fleet.now, false, {}});
        fleet.exchange();
        fleet.now += milliseconds(300);
        fleet.there.on_engine_restarted({"e1", i + 2}, fleet.now);
        fleet.exchange();
    }
    LONGS_EQUAL(1, fleet.review().size());
}

// Guards against an end that is forgotten while the catalogue cannot be read.
TEST(prompt_part_quarantine, restart_that_is_read_ten_seconds_later_counts) {
    for (int i = 0; i < 4; ++i) {
        fleet.now += milliseconds(300);
        fleet.here.on_connection_ended({{"e" + std::to_string(i), 1},
                                        static_cast<std::uint64_t>(i),
                                        {"bad"},
                                        fleet.now,
                                        false,
                                        {}});
    }
    fleet.now += seconds(10);
    fleet.review();
    for (int i = 0; i < 4; ++i) {
        fleet.list({"e" + std::to_string(i), 2});
    }
    LONGS_EQUAL(1, fleet.review().size());
}

TEST(prompt_part_quarantine, entry_of_the_same_or_an_earlier_process_proves_no_end) {
    for (int i = 0; i < 6; ++i) {
        fleet.now += milliseconds(300);
        const std::string engine = "e" + std::to_string(i);
        fleet.here.on_connection_ended(
            {{engine, 5}, static_cast<std::uint64_t>(i), {"part"}, fleet.now, false, {}});
        fleet.list({engine, 5});
        fleet.list({engine, 4});
    }
    LONGS_EQUAL(0, fleet.here.proved_ends());
    CHECK_TRUE(fleet.review().empty());
}

// Guards against blame when one process breaks off answer after answer and then ends.
TEST(prompt_part_quarantine, ends_of_connections_to_one_process_count_once) {
    for (int i = 0; i < 6; ++i) {
        fleet.now += milliseconds(300);
        fleet.here.on_connection_ended(
            {{"e1", 1}, static_cast<std::uint64_t>(i), {"part"}, fleet.now, false, {}});
    }
    fleet.list({"e1", 2});
    LONGS_EQUAL(6, fleet.here.proved_ends());
    CHECK_TRUE(fleet.review().empty());
}

// Guards against engines that end under a request and at once under its repeat, and count once.
TEST(prompt_part_quarantine, ends_under_two_requests_and_their_repeats_quarantine_the_part) {
    for (int i = 0; i < 2; ++i) {
        const auto subject = static_cast<std::uint64_t>(i);
        const parts ids{"bad"};
        const duration lasted = milliseconds(20);
        fleet.now += seconds(3);
        fleet.here.on_connection_ended({{"e1", i}, subject, ids, fleet.now, false, lasted});
        fleet.now += milliseconds(21);
        fleet.here.on_connection_ended({{"e2", i}, subject, ids, fleet.now, false, lasted});
        fleet.exchange();
        fleet.now += milliseconds(300);
        fleet.list({"e1", i + 1});
        fleet.list({"e2", i + 1});
    }
    LONGS_EQUAL(1, fleet.review().size());
    CHECK_TRUE(fleet.there.blocks({"bad"}, fleet.now));
}

TEST(prompt_part_quarantine, engines_that_had_two_requests_when_they_ended_together_count_once) {
    for (int i = 0; i < 8; ++i) {
        const upstream_lifetime engine{"r" + std::to_string(i), 1};
        fleet.now += milliseconds(5);
        fleet.here.on_connection_ended({engine,
                                        static_cast<std::uint64_t>(i % 2),
                                        {"part"},
                                        fleet.now,
                                        false,
                                        milliseconds(500)});
        fleet.here.on_engine_gone(engine, fleet.now);
    }
    CHECK_TRUE(fleet.review().empty());
}
