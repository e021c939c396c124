#pragma once

#include <memory>

namespace fuchsiaquay {

struct contract;
struct entrypoint_answer;

/// Determines which hosts callers use. Called on the control thread.
class entrypoint_source {
public:
    entrypoint_source() = default;
    entrypoint_source(const entrypoint_source&) = delete;
    entrypoint_source& operator=(const entrypoint_source&) = delete;
    virtual ~entrypoint_source() = default;

    virtual entrypoint_answer entrypoints(const contract& terms) const = 0;
};

}  // namespace fuchsiaquay
