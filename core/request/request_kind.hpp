#pragma once

namespace fuchsiaquay {

/// Kind of a request: tokens of a model or a call to a plain service.
enum class request_kind { completion, service_call };

}  // namespace fuchsiaquay
