#pragma once

/// @file
/// The identifier types.

#include "core/identity/identifier.hpp"

namespace fuchsiaquay {

/// An entry host, and the node that runs on it.
using host_id = identifier<struct host_tag>;
using data_centre_id = identifier<struct data_centre_tag>;
/// A customer, that is, the holder of a contract.
using customer_id = identifier<struct customer_tag>;
/// An upstream: a model engine or a plain service replica.
using upstream_id = identifier<struct upstream_tag>;
/// A model that engines serve.
using model_id = identifier<struct model_tag>;
/// A plain service. Requests are routed to it by name.
using service_id = identifier<struct service_tag>;
/// A request of a caller; unique in the fleet.
using request_id = identifier<struct request_tag>;
/// A grant of an upstream's memory. The engine uses it as the stream id.
using grant_id = identifier<struct grant_tag>;

}  // namespace fuchsiaquay
