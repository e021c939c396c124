#include "drivers/engine/engine_client.hpp"

#include <algorithm>
#include <utility>

#include "drivers/engine/engine_call.hpp"
#include "drivers/http/client_pool.hpp"

namespace fuchsiaquay {

engine_client::engine_client(client_pool& clients) : clients_(clients) {}

engine_client::~engine_client() = default;

std::shared_ptr<engine_call> engine_client::start(const engine_request& request,
                                                  std::shared_ptr<engine_call_listener> listener) {
    auto call = std::make_shared<engine_call>(request, std::move(listener));
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        calls_.push_back(call);
    }
    call->start(clients_.get(request.address, request.port));
    return call;
}

void engine_client::end_stalled_calls(instant now) {
    std::vector<std::shared_ptr<engine_call>> calls;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        calls = calls_;
    }
    std::vector<std::shared_ptr<engine_call>> ended;
    for (const std::shared_ptr<engine_call>& call : calls) {
        if (!call->check_timeout(now)) {
            continue;
        }
        if (call->must_drop_connection()) {
            clients_.drop(call->request().address, call->request().port);
        }
        ended.push_back(call);
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto is_ended = [&ended](const std::shared_ptr<engine_call>& call) {
        return std::find(ended.begin(), ended.end(), call) != ended.end();
    };
    calls_.erase(std::remove_if(calls_.begin(), calls_.end(), is_ended), calls_.end());
}

}  // namespace fuchsiaquay
