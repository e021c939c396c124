#pragma once

namespace fuchsiaquay {

/// Whether a request ran at an upstream. `no` is certain, for now and for ever.
enum class execution { no, maybe, yes };

/// Word used in errors and logs: "no", "maybe" or "yes".
constexpr const char* to_string(execution value) {
    switch (value) {
        case execution::no:
            return "no";
        case execution::maybe:
            return "maybe";
        case execution::yes:
            return "yes";
    }
    return "maybe";
}

}  // namespace fuchsiaquay
