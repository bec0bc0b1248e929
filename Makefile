# The two commands of the README need none of this; these are the measurements
# and the conveniences of developers.
.PHONY: test ci losses measure-path measure-policy measure-slopes docs

test:
	go test -race work

ci:
	bash .ci/run

measure-path:
	bash bench/path/measure.sh

losses:
	go run ./bench/losses $(LOG)

measure-slopes:
	bash bench/slopes/measure.sh

measure-policy:
	go run ./bench/policy

docs:
	go run ./node/events/page > docs/EVENTS.md
