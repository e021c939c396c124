#include "tests/stand_ins/platform/host_directory.hpp"

namespace fuchsiaquay::stand_ins {

void host_directory::put(const std::string& id, web::json::value host) {
    host["id"] = web::json::value::string(id);
    tasks_.run_after(lag_, [this, id, host] {
        const std::lock_guard<std::mutex> lock(mutex_);
        hosts_[id] = host;
    });
}

void host_directory::erase(const std::string& id) {
    tasks_.run_after(lag_, [this, id] {
        const std::lock_guard<std::mutex> lock(mutex_);
        hosts_.erase(id);
    });
}

web::json::value host_directory::published() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    web::json::value list = web::json::value::array();
    std::size_t index = 0;
    for (const auto& [id, host] : hosts_) {
        list[index++] = host;
    }
    web::json::value out;
    out["upstreams"] = list;
    return out;
}

}  // namespace fuchsiaquay::stand_ins
