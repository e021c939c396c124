#pragma once

#include "servers/requests/request_filter.hpp"

namespace fuchsiaquay {

class journal_service;
class timer_service;
struct begin_result;

/// Lets a call that is not repeatable proceed only after its start is durable in the journal, and
/// records its outcome. Does nothing for other requests.
class deduplicate_filter final : public request_filter {
public:
    deduplicate_filter(timer_service& timers, journal_service& journal)
        : timers_(timers), journal_(journal) {}

    void admit(const std::shared_ptr<request_flow>& flow,
               const filter_callbacks& callbacks) override;
    void finish(const std::shared_ptr<request_flow>& flow, const attempt_result& result) override;

private:
    void on_begin_result(const std::shared_ptr<request_flow>& flow,
                         const filter_callbacks& callbacks, const begin_result& result);

    timer_service& timers_;
    journal_service& journal_;
};

}  // namespace fuchsiaquay
