#pragma once

namespace fuchsiaquay {

/// Whether a request was executed at an upstream. `no` is definite: it was not and will not be.
enum class execution { no, maybe, yes };

/// Text for errors and logs.
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
