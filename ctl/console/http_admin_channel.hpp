#pragma once

#include <string>
#include <vector>

#include "ctl/console/admin_channel.hpp"

namespace fuchsiaquay {

/// Calls over HTTP. Tries the nodes in order until one answers.
class http_admin_channel final : public admin_channel {
public:
    http_admin_channel(std::vector<std::string> nodes, std::string token, int timeout_s);

    response send(const call& wanted) override;

private:
    response send_to(const std::string& node, const call& wanted) const;

    std::vector<std::string> nodes_;
    std::string token_;
    int timeout_s_;
};

}  // namespace fuchsiaquay
