#pragma once

#include <chrono>
#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <thread>

namespace fuchsiaquay::stand_ins {

/// Runs tasks after a delay on a separate thread, so that HTTP handlers need not sleep.
class delayed_tasks {
public:
    delayed_tasks();
    ~delayed_tasks();
    delayed_tasks(const delayed_tasks&) = delete;
    delayed_tasks& operator=(const delayed_tasks&) = delete;

    /// Runs `task` once, not before `delay` has passed. Tasks must not block.
    void run_after(std::chrono::milliseconds delay, std::function<void()> task);

private:
    void run();

    std::mutex mutex_;
    std::condition_variable changed_;
    std::multimap<std::chrono::steady_clock::time_point, std::function<void()>> tasks_;
    bool stopping_ = false;
    std::thread thread_;
};

}  // namespace fuchsiaquay::stand_ins
