#pragma once

#include <cpprest/json.h>

#include <chrono>
#include <map>
#include <mutex>
#include <string>

#include "tests/stand_ins/support/delayed_tasks.hpp"

namespace fuchsiaquay::stand_ins {

/// The platform's list of hosts. A change is published after the lag. Thread safe.
class host_directory {
public:
    host_directory(delayed_tasks& tasks, std::chrono::milliseconds lag)
        : tasks_(tasks), lag_(lag) {}

    void put(const std::string& id, web::json::value host);
    void erase(const std::string& id);

    /// `{"upstreams":[...]}` as it is published now.
    web::json::value published() const;

private:
    delayed_tasks& tasks_;
    const std::chrono::milliseconds lag_;
    mutable std::mutex mutex_;
    std::map<std::string, web::json::value> hosts_;
};

}  // namespace fuchsiaquay::stand_ins
