#include "core/limits/cold_upstream_budget.hpp"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <cstddef>
#include <string>
#include <vector>

using namespace fuchsiaquay;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr double tolerated = 26.0;
/// 26 a second x 1.5 + 5.
constexpr std::size_t bound = 44;

/// Hosts whose callers always have a request for the only upstream, and how late each hears the
/// others.
class busy_fleet {
public:
    explicit busy_fleet(std::size_t hosts) : budgets_(hosts) {
        for (std::size_t host = 0; host < hosts; ++host) {
            names_.push_back("h" + std::to_string(host));
        }
        for (std::size_t host = 0; host < hosts; ++host) {
            budgets_[host].set_hosts(names_[host], names_);
        }
    }

    cold_upstream_budget& host(std::size_t index) { return budgets_[index]; }
    void announce_cold(const std::string& id, instant until, instant now) {
        for (cold_upstream_budget& budget : budgets_) {
            budget.on_cold({id, 1}, until, now);
        }
    }
    /// @param delay  time until hosts hear each other's dispatches; negative: they never do
    void send(const std::string& id, instant from, instant until, duration delay) {
        std::vector<instant> unheard;
        for (instant now = from; now < until; now += milliseconds(5)) {
            for (std::size_t sender = 0; sender < budgets_.size(); ++sender) {
                if (budgets_[sender].time_until_accepted(id, tolerated, now) > duration::zero()) {
                    continue;
                }
                sent_.push_back(now);
                budgets_[sender].on_dispatch(id, true, now);
                pending_.push_back({sender, now});
            }
            deliver(id, now, delay);
        }
    }
    /// Largest number of requests in one second.
    std::size_t most_in_a_second() const {
        std::size_t most = 0;
        for (const instant from : sent_) {
            most =
                std::max(most, static_cast<std::size_t>(
                                   std::count_if(sent_.begin(), sent_.end(), [from](instant at) {
                                       return at >= from && at <= from + seconds(1) - duration(1);
                                   })));
        }
        return most;
    }
    std::size_t sent() const { return sent_.size(); }

private:
    struct announced {
        std::size_t sender = 0;
        instant sent_at{};
    };

    void deliver(const std::string& id, instant now, duration delay) {
        while (delay >= duration::zero() && !pending_.empty() &&
               pending_.front().sent_at + delay <= now) {
            for (std::size_t host = 0; host < budgets_.size(); ++host) {
                if (host != pending_.front().sender) {
                    budgets_[host].on_dispatch(id, false, pending_.front().sent_at);
                }
            }
            pending_.erase(pending_.begin());
        }
    }

    std::vector<std::string> names_;
    std::vector<cold_upstream_budget> budgets_;
    std::vector<instant> sent_;
    std::vector<announced> pending_;
};

}  // namespace

TEST_GROUP(cold_upstream_budget) {
    instant now_ = instant(seconds(100));
    instant warm_ = now_ + seconds(3);

    std::size_t most_sent(std::size_t hosts, duration delay) {
        busy_fleet fleet(hosts);
        fleet.announce_cold("e", warm_, now_);
        fleet.send("e", now_, warm_, delay);
        CHECK_TRUE(fleet.sent() > 0);
        return fleet.most_in_a_second();
    }
};

// Load pattern: the engines of a data centre return together and cold, while 15 hosts have more
// requests than the other engines can take.
TEST(cold_upstream_budget, full_load_of_15_hosts_stays_within_the_bound_and_uses_most_of_it) {
    const std::size_t most = most_sent(15, milliseconds(50));
    CHECK_TRUE(most <= bound);
    CHECK_TRUE(most >= 26);
}

// Load pattern: as above, and the hosts are cut off from each other.
TEST(cold_upstream_budget, hosts_that_do_not_hear_each_other_stay_within_the_bound) {
    CHECK_TRUE(most_sent(15, duration(-1)) <= bound);
    CHECK_TRUE(most_sent(40, duration(-1)) <= bound);
}

// Load pattern: as above, and datagrams between hosts are 700 ms late.
TEST(cold_upstream_budget, hosts_that_hear_each_other_late_stay_within_the_bound) {
    CHECK_TRUE(most_sent(15, milliseconds(700)) <= bound);
}

// Load pattern: 340 serving hosts, more than the bound has requests.
TEST(cold_upstream_budget, more_hosts_than_requests_stay_within_the_bound) {
    const std::size_t most = most_sent(340, duration(-1));
    CHECK_TRUE(most <= bound);
    CHECK_TRUE(most >= 26);
}

// Load pattern: six hosts began to serve and hear no other host.
TEST(cold_upstream_budget, hosts_that_know_no_other_stay_within_the_bound) {
    busy_fleet fleet(21);
    for (std::size_t host = 15; host < 21; ++host) {
        const std::string name = "new" + std::to_string(host);
        fleet.host(host).set_hosts(name, {name});
    }
    fleet.announce_cold("e", warm_, now_);
    fleet.send("e", now_, warm_, duration(-1));
    CHECK_TRUE(fleet.most_in_a_second() <= bound);
}

// Load pattern: an engine that gets two requests a second from each host becomes cold again.
TEST(cold_upstream_budget, requests_before_the_engine_became_cold_count) {
    cold_upstream_budget budget;
    budget.set_hosts("h", {"h"});
    for (int i = 0; i < 2; ++i) {
        budget.on_dispatch("e", true, now_);
    }
    CHECK_TRUE(budget.time_until_accepted("e", tolerated, now_) == duration::zero());
    CHECK_TRUE(budget.on_cold({"e", 1}, warm_, now_ + milliseconds(100)));
    CHECK_TRUE(budget.time_until_accepted("e", tolerated, now_ + milliseconds(100)) ==
               milliseconds(900));
}

TEST(cold_upstream_budget, limit_ends_when_the_engine_is_warm) {
    cold_upstream_budget budget;
    budget.set_hosts("h", {"h"});
    budget.on_cold({"e", 1}, now_ + milliseconds(300), now_);
    for (int i = 0; i < 9; ++i) {
        budget.on_dispatch("e", true, now_);
    }
    CHECK_TRUE(budget.time_until_accepted("e", tolerated, now_) == milliseconds(300));
    now_ += milliseconds(300);
    CHECK_FALSE(budget.is_cold("e", now_));
    CHECK_TRUE(budget.time_until_accepted("e", tolerated, now_) == duration::zero());
    LONGS_EQUAL(0, budget.size(now_));
}

TEST(cold_upstream_budget, cold_time_is_extended_and_never_shortened) {
    cold_upstream_budget budget;
    CHECK_TRUE(budget.on_cold({"e", 1}, warm_, now_));
    CHECK_FALSE(budget.on_cold({"e", 1}, warm_ + seconds(1), now_));
    CHECK_FALSE(budget.on_cold({"e", 1}, now_ + milliseconds(10), now_));
    CHECK_TRUE(budget.is_cold("e", warm_ + milliseconds(900)));
    CHECK_TRUE(budget.on_cold({"e", 1}, warm_ + seconds(9), warm_ + seconds(5)));
}

TEST(cold_upstream_budget, earlier_process_does_not_make_a_later_one_cold) {
    cold_upstream_budget budget;
    CHECK_TRUE(budget.on_cold({"e", 5}, now_ + seconds(1), now_));
    CHECK_FALSE(budget.on_cold({"e", 4}, now_ + seconds(9), now_));
    CHECK_FALSE(budget.is_cold("e", now_ + seconds(2)));
}

// Load pattern: the store is down and no host tells of the catalogue, so an engine may have
// restarted without a word.
TEST(cold_upstream_budget, host_that_cannot_know_and_hears_not_all_keeps_to_its_part) {
    cold_upstream_budget budget;
    budget.set_hosts("h", {"h"});
    budget.set_knowledge(false, false);
    CHECK_TRUE(budget.time_until_accepted("e", tolerated, now_) == duration::zero());
    budget.on_dispatch("e", true, now_);
    budget.on_dispatch("e", true, now_);
    CHECK_TRUE(budget.time_until_accepted("e", tolerated, now_) == seconds(1));
    CHECK_FALSE(budget.is_cold("e", now_));
    budget.set_knowledge(true, false);
    CHECK_TRUE(budget.time_until_accepted("e", tolerated, now_) == duration::zero());
}

// Load pattern: the store's history is lost under full load, and the hosts hear each other.
TEST(cold_upstream_budget, hosts_that_cannot_know_share_half_of_the_bound_if_they_hear_all) {
    busy_fleet fleet(15);
    for (std::size_t host = 0; host < 15; ++host) {
        fleet.host(host).set_knowledge(false, true);
    }
    fleet.send("e", now_, warm_, milliseconds(80));
    CHECK_TRUE(fleet.most_in_a_second() >= 19);
    CHECK_TRUE(fleet.most_in_a_second() <= bound);
}

// Load pattern: as above, and the upstream is known to be cold.
TEST(cold_upstream_budget, host_that_cannot_know_keeps_to_its_part_at_an_engine_known_to_be_cold) {
    cold_upstream_budget budget;
    budget.set_hosts("h", {"h"});
    budget.set_knowledge(false, true);
    budget.on_cold({"e", 1}, warm_, now_);
    budget.on_dispatch("e", true, now_);
    budget.on_dispatch("e", true, now_);
    CHECK_TRUE(budget.time_until_accepted("e", tolerated, now_) > duration::zero());
}

// Guards the deployments whose services name no limit.
TEST(cold_upstream_budget, service_without_a_limit_is_served_as_before) {
    cold_upstream_budget budget;
    budget.set_knowledge(false, true);
    budget.on_cold({"e", 1}, warm_, now_);
    for (int i = 0; i < 100; ++i) {
        budget.on_dispatch("e", true, now_);
    }
    CHECK_TRUE(budget.time_until_accepted("e", 0.0, now_) == duration::zero());
}

TEST(cold_upstream_budget, bounds_of_the_settings_are_used) {
    cold_upstream_budget budget;
    budget.set_hosts("h", {"h"});
    budget.set_bounds({1.0, 0.0, 1});
    budget.on_cold({"e", 1}, warm_, now_);
    for (int i = 0; i < 23; ++i) {
        CHECK_TRUE(budget.time_until_accepted("e", tolerated, now_) == duration::zero());
        budget.on_dispatch("e", true, now_);
    }
    CHECK_TRUE(budget.time_until_accepted("e", tolerated, now_) > duration::zero());
}
