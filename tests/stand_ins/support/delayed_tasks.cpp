#include "tests/stand_ins/support/delayed_tasks.hpp"

namespace fuchsiaquay::stand_ins {

delayed_tasks::delayed_tasks() : thread_([this] { run(); }) {}

delayed_tasks::~delayed_tasks() {
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        stopping_ = true;
    }
    changed_.notify_all();
    thread_.join();
}

void delayed_tasks::run_after(std::chrono::milliseconds delay, std::function<void()> task) {
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        tasks_.emplace(std::chrono::steady_clock::now() + delay, std::move(task));
    }
    changed_.notify_all();
}

void delayed_tasks::run() {
    std::unique_lock<std::mutex> lock(mutex_);
    while (!stopping_) {
        if (tasks_.empty()) {
            changed_.wait(lock);
            continue;
        }
        const auto next = tasks_.begin();
        if (next->first > std::chrono::steady_clock::now()) {
            changed_.wait_until(lock, next->first);
            continue;
        }
        const std::function<void()> task = std::move(next->second);
        tasks_.erase(next);
        lock.unlock();
        task();
        lock.lock();
    }
}

}  // namespace fuchsiaquay::stand_ins
