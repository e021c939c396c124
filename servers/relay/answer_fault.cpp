#include "servers/relay/answer_fault.hpp"

namespace fuchsiaquay {

const char* name_of(answer_fault fault) {
    switch (fault) {
        case answer_fault::invalid_status:
            return "invalid_status";
        case answer_fault::malformed:
            return "malformed";
        case answer_fault::incomplete:
            return "incomplete";
        case answer_fault::unconfirmed:
            return "unconfirmed";
        case answer_fault::none:
            break;
    }
    return "none";
}

}  // namespace fuchsiaquay
