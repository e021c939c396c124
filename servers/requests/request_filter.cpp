#include "servers/requests/request_filter.hpp"

namespace fuchsiaquay {

void request_filter::finish(const std::shared_ptr<request_flow>& /*flow*/,
                            const attempt_result& /*result*/) {}

}  // namespace fuchsiaquay
