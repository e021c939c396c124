#pragma once

#include <functional>
#include <string>

#include "core/identity/names.hpp"

namespace fuchsiaquay {

struct engine_report;
struct upstream;

/// Lists and cancels the streams of engines on behalf of their owner. Each handler is called once,
/// on the control thread.
class engine_admin {
public:
    /// Receives the report, or a failure message with an empty report.
    using report_handler =
        std::function<void(const std::string& failure, const engine_report& report)>;

    engine_admin() = default;
    engine_admin(const engine_admin&) = delete;
    engine_admin& operator=(const engine_admin&) = delete;
    virtual ~engine_admin() = default;

    virtual void list_streams(const upstream& engine, report_handler done) = 0;
    /// Cancels a stream and frees its memory. Idempotent. If the call is lost, the owner repeats it
    /// when the engine lists the stream again.
    virtual void cancel_stream(const upstream& engine, const grant_id& stream) = 0;
};

}  // namespace fuchsiaquay
