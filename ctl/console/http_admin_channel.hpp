#pragma once

#include <string>
#include <vector>

#include "ctl/console/admin_channel.hpp"

namespace fuchsiaquay {

/// Calls the administration API over HTTP, trying the nodes in order until one responds.
class http_admin_channel final : public admin_channel {
public:
    http_admin_channel(std::vector<std::string> nodes, std::string token, int timeout_s);

    response send(const call& call) override;

private:
    response send_to(const std::string& node, const call& call) const;

    std::vector<std::string> nodes_;
    std::string token_;
    int timeout_s_;
};

}  // namespace fuchsiaquay
