#include "drivers/traffic/answer_cut.hpp"

#include "drivers/traffic/caller_services.hpp"
#include "servers/decision_log.hpp"
#include "servers/request_metrics.hpp"

namespace fuchsiaquay {

namespace {

const char* yes_or_no(bool value) {
    return value ? "yes" : "no";
}

}  // namespace

void report(const answer_cut& cut, const caller_services& services) {
    services.metrics.answer_cut(name_of(cut.cause));
    services.log.write(decision_log::level::info, "answer_cut",
                       {{"request", cut.request},
                        {"cause", name_of(cut.cause)},
                        {"reason", cut.reason},
                        {"request_read", yes_or_no(cut.request_read)},
                        {"passed_on", yes_or_no(cut.passed_on)},
                        {"answer_ready", yes_or_no(cut.answer_ready)},
                        {"accepted_bytes", std::to_string(cut.accepted_bytes)},
                        {"buffered_bytes", std::to_string(cut.buffered_bytes)},
                        {"unacknowledged_bytes", std::to_string(cut.unacknowledged_bytes)},
                        {"age_ms", std::to_string(cut.age_ms)}});
}

}  // namespace fuchsiaquay
