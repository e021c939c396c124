#include "ctl/bench/workload_profile.hpp"

namespace fuchsiaquay {
namespace {

using std::chrono::seconds;

std::vector<workload_customer> make_customers(std::size_t large, double large_weight,
                                              std::size_t small) {
    std::vector<workload_customer> customers;
    for (std::size_t i = 0; i < large; ++i) {
        customers.push_back(workload_customer{"large-" + std::to_string(i), large_weight});
    }
    for (std::size_t i = 0; i < small; ++i) {
        customers.push_back(workload_customer{"small-" + std::to_string(i), 1.0});
    }
    return customers;
}

}  // namespace

workload_profile sporebox_profile() {
    workload_profile profile;
    profile.name = "sporebox";
    profile.assistant_engines = 15;
    profile.ordering_engines = 3;
    profile.entry_hosts = 8;
    profile.customers = make_customers(2, 5.0, 8);
    profile.ranks = {{"urgent", 0.30, 0.5, seconds(30), seconds(120)},
                     {"standard", 0.15, 0.3, seconds(60), seconds(180)},
                     {"patient", 0.20, 0.2, seconds(120), seconds(300)}};
    profile.assistant_rate = 10.5;
    profile.ordering_rate = 4.0;
    return profile;
}

workload_profile regie_profile() {
    workload_profile profile;
    profile.name = "regie";
    profile.assistant_engines = 20;
    profile.ordering_engines = 3;
    profile.entry_hosts = 9;
    profile.customers = make_customers(3, 3.0, 7);
    profile.ranks = {{"urgent", 0.35, 0.5, seconds(20), seconds(120)},
                     {"standard", 0.15, 0.3, seconds(60), seconds(180)},
                     {"patient", 0.15, 0.2, seconds(120), seconds(300)}};
    profile.assistant_rate = 14.0;
    profile.ordering_rate = 4.0;
    profile.mean_output_tokens = 120.0;
    return profile;
}

}  // namespace fuchsiaquay
