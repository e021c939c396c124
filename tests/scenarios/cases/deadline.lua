-- Requests that cannot end in time, beside others that can: the first are refused or failed
-- within their time and leave no memory behind.
start_fleet { nodes = 2, engines = 2, services = 0, decode_step_ms = 10 }
local short = offer_streams { callers = 4 }
wait_for_answers(short, 10)
local endless = offer_streams { callers = 4, calls = 4, max_tokens_min = 4000,
                                max_tokens_max = 8000 }
wait_for_answers(short, 60)
load_stop(endless)
expect_all_holds()
