-- Tablewise: bookings of restaurant tables across Jamaica.
--
-- Hosts at the door and diners on the phone wait for an answer. Kitchen
-- summaries can wait a little, and overnight reports until the morning.
-- Lunch and dinner are the peak hours. Hosts at the door have the highest
-- priority.

local LUNCH = {from = 11.5, to = 14.5}
local DINNER = {from = 17.5, to = 21.5}

local function within(hour, span)
  return hour >= span.from and hour < span.to
end

local function busy(hour)
  return within(hour, LUNCH) or within(hour, DINNER)
end

-- Restaurant chains get a larger share than single restaurants.
local WEIGHTS = {["island-grill"] = 4, ["harbour-house"] = 2}

function classify(request)
  local class = {weight = WEIGHTS[request.customer] or 1}
  if request.kind == "host" then
    class.tier, class.deadline = "critical", 5
  elseif request.kind == "kitchen" then
    class.tier, class.deadline = "standard", 60
  elseif request.kind == "report" then
    class.tier, class.deadline = "background", 6 * 3600
    -- Reports are refused during peak hours.
    class.refuse = busy(request.hour)
  else
    class.tier, class.deadline = "high", 10
  end
  return class
end

-- Read calls may be retried; booking, changing and cancelling may not.
function repeatable(call)
  return call.method == "GET"
end

-- In peak hours all halls have the same weight. In quiet hours the hall with the
-- most capacity gets most of the load, so that the others are nearly idle.
function share(pool, halls, hour)
  local weights, best = {}, nil
  for hall, h in pairs(halls) do
    weights[hall] = 1
    if best == nil or h.capacity > halls[best].capacity
       or (h.capacity == halls[best].capacity and hall < best) then
      best = hall
    end
  end
  if not busy(hour) and best and halls[best].demand < halls[best].capacity * 0.6 then
    for hall in pairs(halls) do
      weights[hall] = hall == best and 4 or 1
    end
  end
  return weights
end
