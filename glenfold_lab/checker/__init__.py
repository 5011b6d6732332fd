"""The rules of the platform, judged from what the outside saw: for the model and for sockets alike.

One module for each rule. `requests` keeps what is open and asks `answer`, `attempt` and `move` about it;
`drain` and `cold` are watchers of their own.
"""

from glenfold_lab.checker.cold import Cold
from glenfold_lab.checker.drain import Drain
from glenfold_lab.checker.requests import Requests
from glenfold_lab.checker.verdicts import Verdicts
from glenfold_lab.observe import Watchers
from glenfold_lab.results import Verdict
from glenfold_lab.spec import Rules


class Checker(Watchers):
    """A watcher that finds broken rules as the observations stream by.

    slack_us: by how much every time limit is extended: 0 in the model, where moments are exact, and 50,000
    on sockets, where they are as late as the process that saw them. keep: most verdicts kept; the others are
    only counted. start_us: the moment from which verdicts count theirs.

    What it holds grows with the requests and connections that are open, not with those that ever were.
    """

    def __init__(self, rules: Rules, slack_us: int, keep: int = 100, start_us: int = 0) -> None:
        self._found = Verdicts(keep, start_us)
        drain = Drain(rules, slack_us, self._found)
        super().__init__(
            Requests(rules, slack_us, self._found),
            drain,
            Cold(rules, slack_us, drain.told_start, self._found),
        )

    def verdicts(self) -> tuple[Verdict, ...]:
        """Those kept so far, in the order of their moments. A request is judged some time after its deadline,
        so all are there only after `finish`."""
        return tuple(sorted(self._found.kept, key=lambda verdict: verdict.at_us))

    @property
    def left_out(self) -> int:
        """Broken rules beyond those that are kept."""
        return self._found.left_out
