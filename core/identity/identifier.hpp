#pragma once

#include <string>
#include <utility>

namespace fuchsiaquay {

/// Strongly typed string identifier. Identifiers of different kinds cannot be assigned or compared
/// to each other.
template <typename kind>
class identifier {
public:
    identifier() = default;
    explicit identifier(std::string value) : value_(std::move(value)) {}

    const std::string& value() const noexcept { return value_; }
    bool empty() const noexcept { return value_.empty(); }

    friend bool operator==(const identifier& a, const identifier& b) {
        return a.value_ == b.value_;
    }
    friend bool operator!=(const identifier& a, const identifier& b) { return !(a == b); }
    friend bool operator<(const identifier& a, const identifier& b) { return a.value_ < b.value_; }

private:
    std::string value_;
};

}  // namespace fuchsiaquay
