#pragma once

#include <memory>
#include <string>

namespace fuchsiaquay {

class fleet_configuration;

/// Decodes the operators' configuration from its stored form.
class configuration_codec {
public:
    configuration_codec() = default;
    configuration_codec(const configuration_codec&) = delete;
    configuration_codec& operator=(const configuration_codec&) = delete;
    virtual ~configuration_codec() = default;

    /// @throws operation_error  if the text is not a valid configuration
    virtual std::shared_ptr<const fleet_configuration> decode(const std::string& text) const = 0;
};

}  // namespace fuchsiaquay
