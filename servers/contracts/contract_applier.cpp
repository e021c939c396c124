#include "servers/contracts/contract_applier.hpp"

#include <string>

#include "core/error/operation_error.hpp"
#include "servers/contracts/contract_format.hpp"
#include "servers/decision_log.hpp"

namespace fuchsiaquay {

bool contract_applier::apply(const contract_change& change, const char* source) {
    contract parsed;
    try {
        if (!change.erased) {
            parsed = format_.parse(change.document, change.revision);
        }
    } catch (const operation_error& error) {
        log_.write(decision_log::level::error, "contract_unreadable",
                   {{"customer", change.customer.value()},
                    {"revision", std::to_string(change.revision)},
                    {"source", source},
                    {"error", error.what()}});
        return false;
    }
    if (!registry_.apply(change, parsed)) {
        return false;
    }
    report(change, source);
    return true;
}

void contract_applier::report(const contract_change& change, const char* source) {
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
