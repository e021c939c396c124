#include "servers/contracts/contract_intake.hpp"

#include <string>

#include "core/error/step_error.hpp"
#include "servers/contracts/contract_format.hpp"
#include "servers/decision_log.hpp"

namespace fuchsiaquay {

bool contract_intake::take(const contract_change& change, const char* source) {
    contract parsed;
    try {
        if (!change.erased) {
            parsed = format_.parse(change.document, change.revision);
        }
    } catch (const step_error& error) {
        log_.write(decision_log::level::error, "contract_unreadable",
                   {{"customer", change.customer.value()},
                    {"revision", std::to_string(change.revision)},
                    {"source", source},
                    {"error", error.what()}});
        return false;
    }
    if (!book_.apply(change, parsed)) {
        return false;
    }
    report(change, source);
    return true;
}

void contract_intake::report(const contract_change& change, const char* source) {
    log_.write(decision_log::level::info, "contract_applied",
               {{"customer", change.customer.value()},
                {"revision", std::to_string(change.revision)},
                {"erased", change.erased ? "true" : "false"},
                {"source", source}});
    if (changed_) {
        changed_(change);
    }
}

}  // namespace fuchsiaquay
