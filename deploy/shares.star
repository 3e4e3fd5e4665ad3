# Which teams' work gets what part of which machines. Parts are of the machines of a type that there
# are in each zone; times of day are in UTC. The first rule of a share that holds counts.
shares = {
    # Billing before dawn: at least 40% of the plain machines, up to 70% if its work wants them.
    "billing": {
        "teams": ["accounts"],
        "rules": [
            {"types": ["mainframe-bay"], "least": 0.4, "most": 0.7, "hours": ("02:00", "05:30")},
            {"types": ["mainframe-bay"], "most": 0.2},
        ],
        "weight": 2.0,
    },
}

margin = 0.1            # a new plan must differ by this part of a zone's machines of a type
move_within_s = 300.0   # a machine that is not empty by then is left where it is
hold_orders_s = 3600.0  # the plan leaves alone for so long what an operator has moved
