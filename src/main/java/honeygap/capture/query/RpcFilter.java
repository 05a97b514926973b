package honeygap.capture.query;

import honeygap.capture.message.RecordedRpc;
import honeygap.config.ComparisonOperators;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import java.util.regex.Pattern;
import java.util.regex.PatternSyntaxException;
import org.antlr.v4.runtime.BaseErrorListener;
import org.antlr.v4.runtime.CharStreams;
import org.antlr.v4.runtime.CommonTokenStream;
import org.antlr.v4.runtime.RecognitionException;
import org.antlr.v4.runtime.Recognizer;
import org.antlr.v4.runtime.Token;

/** Compiles filter expressions that select RPCs, such as {@code method == "book" and took > 20ms and not served}. */
public final class RpcFilter {

    /** A syntax error in a filter, with its column, counted from 1. */
    public static final class FilterSyntaxException extends IllegalArgumentException {

        private static final long serialVersionUID = 1;

        public final int column;

        FilterSyntaxException(int column, String message) {
            super("column " + column + ": " + message);
            this.column = column;
        }
    }

    private static final Map<String, Function<RecordedRpc, String>> TEXT_FIELDS = new TreeMap<>(Map.of(
            "method", rpc -> rpc.method, "key", rpc -> rpc.key, "tenant", rpc -> rpc.tenant,
            "id", rpc -> rpc.id, "code", rpc -> rpc.code, "protocol", rpc -> rpc.protocol,
            "client", rpc -> rpc.client.toString(), "server", rpc -> rpc.server.toString(),
            "outcome", rpc -> rpc.outcome.name()));

    /** Numeric fields without a unit. */
    private static final Map<String, ToDoubleFunction<RecordedRpc>> NUMBER_FIELDS = new TreeMap<>(Map.of(
            "connection", rpc -> rpc.connection, "requestBytes", rpc -> rpc.request.length,
            "answerBytes", rpc -> rpc.response.length));

    /** Durations, in nanoseconds. */
    private static final Map<String, ToDoubleFunction<RecordedRpc>> TIME_FIELDS = new TreeMap<>(Map.of(
            "took", rpc -> rpc.durationNs, "deadline", rpc -> rpc.deadlineMs * 1e6));

    private static final Map<String, Double> NANOS_PER_UNIT = Map.of("ns", 1.0, "us", 1e3, "ms", 1e6, "s", 1e9, "m", 6e10);

    private RpcFilter() {
    }

    /** Describes all fields, for help texts and error messages. */
    public static String describeFields() {
        return String.join(", ", TEXT_FIELDS.keySet()) + " (text); " + String.join(", ", NUMBER_FIELDS.keySet())
                + " (numbers); " + String.join(", ", TIME_FIELDS.keySet()) + " (times, as 20ms); served, refused, failed,"
                + " open, torn, read (true or not)";
    }

    /**
     * Compiles a filter; null and blank expressions select all RPCs.
     *
     * @throws FilterSyntaxException if the expression is not valid
     */
    public static Predicate<RecordedRpc> parse(String expression) {
        if (expression == null || expression.isBlank()) {
            return rpc -> true;
        }
        BaseErrorListener errors = new BaseErrorListener() {
            @Override
            public void syntaxError(Recognizer<?, ?> recognizer, Object symbol, int line, int column, String message,
                    RecognitionException cause) {
                String problem = symbol instanceof Token token && token.getType() != Token.EOF
                        ? "\"" + token.getText() + "\" is unexpected here" : "the filter ends unexpectedly";
                throw new FilterSyntaxException(column + 1, problem);
            }
        };
        // Line breaks become spaces, so that the column alone identifies the position.
        QueryLexer lexer = new QueryLexer(CharStreams.fromString(expression.replace('\n', ' ').replace('\r', ' ')));
        lexer.removeErrorListeners();
        lexer.addErrorListener(errors);
        QueryParser parser = new QueryParser(new CommonTokenStream(lexer));
        parser.removeErrorListeners();
        parser.addErrorListener(errors);
        return new PredicateBuilder().visitWhole(parser.whole());
    }

    private static final class PredicateBuilder extends QueryBaseVisitor<Predicate<RecordedRpc>> {

        @Override
        public Predicate<RecordedRpc> visitWhole(QueryParser.WholeContext context) {
            return visit(context.either());
        }

        @Override
        public Predicate<RecordedRpc> visitEither(QueryParser.EitherContext context) {
            return context.both().stream().map(this::visit).reduce(Predicate::or).orElseThrow();
        }

        @Override
        public Predicate<RecordedRpc> visitBoth(QueryParser.BothContext context) {
            return context.plain().stream().map(this::visit).reduce(Predicate::and).orElseThrow();
        }

        @Override
        public Predicate<RecordedRpc> visitNot(QueryParser.NotContext context) {
            return visit(context.plain()).negate();
        }

        @Override
        public Predicate<RecordedRpc> visitInner(QueryParser.InnerContext context) {
            return visit(context.either());
        }

        @Override
        public Predicate<RecordedRpc> visitHolds(QueryParser.HoldsContext context) {
            String word = context.WORD().getText();
            for (RecordedRpc.Outcome outcome : RecordedRpc.Outcome.values()) {
                if (outcome.name().equals(word)) {
                    return rpc -> rpc.outcome == outcome;
                }
            }
            if (word.equals("read")) {
                return rpc -> rpc.isReadOnly;
            }
            throw unknownWord(context.WORD().getSymbol(), "not a condition");
        }

        private static FilterSyntaxException unknownWord(Token token, String problem) {
            return new FilterSyntaxException(token.getCharPositionInLine() + 1, "\"" + token.getText() + "\" is " + problem
                    + "; known: " + describeFields());
        }

        @Override
        public Predicate<RecordedRpc> visitMatch(QueryParser.MatchContext context) {
            Token field = context.WORD().getSymbol();
            Function<RecordedRpc, String> text = TEXT_FIELDS.get(field.getText());
            if (text == null) {
                throw unknownWord(field, "not a text field");
            }
            try {
                Pattern pattern = Pattern.compile(unquote(context.TEXT().getSymbol()));
                return rpc -> pattern.matcher(text.apply(rpc)).find();
            } catch (PatternSyntaxException e) {
                throw new FilterSyntaxException(context.TEXT().getSymbol().getCharPositionInLine() + 1, "invalid pattern: "
                        + e.getDescription().toLowerCase(Locale.ROOT));
            }
        }

        @Override
        public Predicate<RecordedRpc> visitAmong(QueryParser.AmongContext context) {
            return context.value().stream().map(value -> compare(context.WORD().getSymbol(), "==", value))
                    .reduce(Predicate::or).orElseThrow();
        }

        @Override
        public Predicate<RecordedRpc> visitCompare(QueryParser.CompareContext context) {
            return compare(context.WORD().getSymbol(), context.compare.getText(), context.value());
        }

        private static Predicate<RecordedRpc> compare(Token field, String operator, QueryParser.ValueContext value) {
            Token token = value.getStart();
            String name = field.getText();
            boolean isText = token.getType() == QueryLexer.TEXT;
            if (TEXT_FIELDS.containsKey(name)) {
                if (!isText) {
                    throw new FilterSyntaxException(token.getCharPositionInLine() + 1, name + " is text; put the value in quotes");
                }
                String expected = unquote(token);
                Function<RecordedRpc, String> text = TEXT_FIELDS.get(name);
                return rpc -> ComparisonOperators.matches(operator, text.apply(rpc).compareTo(expected));
            }
            boolean isTime = TIME_FIELDS.containsKey(name);
            ToDoubleFunction<RecordedRpc> number = isTime ? TIME_FIELDS.get(name) : NUMBER_FIELDS.get(name);
            if (number == null) {
                throw unknownWord(field, "not a field");
            }
            double expected = parseNumber(token, isText, name, isTime);
            // An RPC without a response has no duration and matches no comparison.
            return rpc -> !(isTime && number.applyAsDouble(rpc) < 0)
                    && ComparisonOperators.matches(operator, Double.compare(number.applyAsDouble(rpc), expected));
        }

        private static double parseNumber(Token token, boolean isText, String name, boolean isTime) {
            int column = token.getCharPositionInLine() + 1;
            String text = token.getText();
            int unitStart = text.length();
            while (unitStart > 0 && Character.isLetter(text.charAt(unitStart - 1))) {
                unitStart--;
            }
            String unit = text.substring(unitStart);
            if (isText || unitStart == 0) {
                throw new FilterSyntaxException(column, name + " is a number; put the value without quotes");
            }
            if (isTime != NANOS_PER_UNIT.containsKey(unit) || !isTime && !unit.isEmpty()) {
                throw new FilterSyntaxException(column, isTime ? name + " is a time; give it a unit, as 20ms (ns, us, ms, s, m)"
                        : name + " is a number without a unit");
            }
            return Double.parseDouble(text.substring(0, unitStart)) * (isTime ? NANOS_PER_UNIT.get(unit) : 1);
        }

        private static String unquote(Token text) {
            String quoted = text.getText();
            return quoted.substring(1, quoted.length() - 1).replaceAll("\\\\(.)", "$1");
        }
    }
}
